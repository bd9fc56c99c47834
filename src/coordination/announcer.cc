#include "hawthornbank/announcer.h"

#include <algorithm>

namespace hawthornbank {
namespace {

using Actions = std::vector<AnnouncerAction>;

/// Announces to a watcher between two that ask for an answer.
constexpr std::uint64_t kAckEvery = 4;
/// Seeds that are asked at a time.
constexpr std::size_t kSeedCount = 3;
/// Repeats of an announce whose state has changed.
constexpr std::uint32_t kHurriedAnnounces = 3;

/// Seeds aren't asked for the view: after a restart of all agents they would
/// send it to each of them.
auto SendTo(Announcer& announcer,
            detail::WatcherEntry& watcher,
            bool primary,
            TimePoint now,
            Actions& out) -> void {
  const bool due = announcer.self.sequence % kAckEvery == 0;
  const bool ask = due || watcher.waiting || !announcer.answered;
  if (ask && !watcher.waiting) {
    watcher.waiting = true;
    watcher.asked = now;
  }
  out.emplace_back(SendAnnounce{
      .to = watcher.endpoint,
      .announce = Announce{.target = announcer.self,
                           .view_version = announcer.view.version,
                           .wants_ack = ask,
                           .wants_view = primary && announcer.answered}});
}

auto AnnounceToAll(Announcer& announcer, TimePoint now, Actions& out) -> void {
  ++announcer.self.sequence;
  announcer.last_announce = now;
  announcer.announced = true;
  bool primary = true;
  for (auto& it : announcer.watchers) {
    SendTo(announcer, it, primary, now, out);
    primary = false;
  }
}

/// Takes seeds as watchers until one of them tells the right ones.
auto UseSeeds(Announcer& announcer, Random& random) -> void {
  auto seeds = announcer.options.seeds;
  announcer.watchers.clear();
  announcer.answered = false;
  while (!seeds.empty() && announcer.watchers.size() < kSeedCount) {
    const auto n = static_cast<std::size_t>(NextFraction(random) *
                                            static_cast<double>(seeds.size()));
    announcer.watchers.push_back(detail::WatcherEntry{.endpoint = seeds[n]});
    seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

auto DropSilentWatchers(Announcer& announcer, TimePoint now) -> void {
  const auto timeout = announcer.options.ack_timeout;
  std::erase_if(announcer.watchers, [&](const detail::WatcherEntry& it) {
    return it.waiting && now - it.asked > timeout;
  });
}

/// @return Whether the watchers changed.
auto UseWatchers(Announcer& announcer, const std::vector<Endpoint>& endpoints)
    -> bool {
  const bool same =
      std::equal(endpoints.begin(), endpoints.end(), announcer.watchers.begin(),
                 announcer.watchers.end(),
                 [](const Endpoint& a, const detail::WatcherEntry& b) {
                   return a == b.endpoint;
                 });
  if (endpoints.empty() || same) {
    return false;
  }
  std::vector<detail::WatcherEntry> watchers;
  for (const auto& endpoint : endpoints) {
    const auto it =
        std::find_if(announcer.watchers.begin(), announcer.watchers.end(),
                     [&endpoint](const detail::WatcherEntry& old) {
                       return old.endpoint == endpoint;
                     });
    watchers.push_back(it != announcer.watchers.end()
                           ? *it
                           : detail::WatcherEntry{.endpoint = endpoint});
  }
  announcer.watchers = std::move(watchers);
  return true;
}

auto ChangeState(Announcer& announcer,
                 TargetState state,
                 TimePoint now,
                 Actions& out) -> void {
  announcer.self.state = state;
  announcer.hurried = kHurriedAnnounces;
  AnnounceToAll(announcer, now, out);
}

}  // namespace

auto MakeAnnouncer(const AnnouncerOptions& options) -> Announcer {
  return Announcer{.options = options, .self = options.self};
}

auto OnAnnounceAck(Announcer& announcer,
                   Endpoint from,
                   const AnnounceAck& ack,
                   TimePoint now,
                   std::vector<AnnouncerAction>& out) -> void {
  auto& self = announcer.self;
  if (ack.target != self.id) {
    return;
  }
  if (ack.incarnation > self.incarnation) {
    out.emplace_back(Superseded{ack.incarnation});
    return;
  }
  for (auto& it : announcer.watchers) {
    it.waiting = it.waiting && it.endpoint != from;
  }
  const bool moved = UseWatchers(announcer, ack.watchers);
  announcer.answered = announcer.answered || !ack.watchers.empty();
  if (ack.has_view && ack.view.service == self.service &&
      ack.view.version != announcer.view.version) {
    announcer.view = ack.view;
    out.emplace_back(ViewChanged{ack.view});
  }
  if (ack.incarnation == self.incarnation) {
    self.sequence = std::max(self.sequence, ack.sequence);
  }
  const bool doubted =
      ack.state == TargetState::kSuspect || ack.state == TargetState::kDead;
  if (doubted) {
    ++self.sequence;
    detail::WatcherEntry watcher{.endpoint = from};
    SendTo(announcer, watcher, false, now, out);
  }
  // The next tick announces to new watchers soon, at a bounded rate.
  announcer.hurried = std::max(announcer.hurried, moved ? 1U : 0U);
}

auto OnAnnouncerTick(Announcer& announcer,
                     TimePoint now,
                     Random& random,
                     std::vector<AnnouncerAction>& out) -> TimePoint {
  const auto& options = announcer.options;
  const bool hurry = announcer.hurried > 0 || !announcer.answered;
  const auto interval =
      hurry ? options.hurry_interval : options.announce_interval;
  if (announcer.announced && now - announcer.last_announce < interval) {
    return announcer.last_announce + interval;
  }
  DropSilentWatchers(announcer, now);
  if (announcer.watchers.empty() || !announcer.answered) {
    UseSeeds(announcer, random);
  }
  AnnounceToAll(announcer, now, out);
  announcer.hurried -= announcer.hurried > 0 ? 1 : 0;
  const bool still = announcer.hurried > 0 || !announcer.answered;
  return now + (still ? options.hurry_interval : options.announce_interval);
}

auto SetLoad(Announcer& announcer, const TargetLoad& load) -> void {
  announcer.self.load = load;
}

auto BeginDrain(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state == TargetState::kServing) {
    ChangeState(announcer, TargetState::kDraining, now, out);
  }
}

auto CancelDrain(Announcer& announcer,
                 TimePoint now,
                 std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state == TargetState::kDraining) {
    ChangeState(announcer, TargetState::kServing, now, out);
  }
}

auto BeginLeave(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state != TargetState::kLeft) {
    ChangeState(announcer, TargetState::kLeft, now, out);
  }
}

}  // namespace hawthornbank
