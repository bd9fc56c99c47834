#include "hawthornbank/announcer.h"

#include <algorithm>

namespace hawthornbank {
namespace {

using Actions = std::vector<AnnouncerAction>;

/// At least every kAnnouncementsPerAck-th announcement asks the watchers for an
/// acknowledgement.
constexpr std::uint64_t kAnnouncementsPerAck = 4;
/// Maximum number of seeds that serve as watchers at the same time.
constexpr std::size_t kContactedSeedCount = 3;
/// Number of announcements that repeat a state change at the fast interval.
constexpr std::uint32_t kFastAnnouncementCount = 3;

/// Appends the action that sends an announcement to a watcher. Only the primary
/// watcher is asked for the view. Seeds aren't asked for the view, because
/// after a restart of all agents the seeds would send the view to every agent.
auto SendAnnouncementToWatcher(Announcer& announcer,
                               detail::WatcherEntry& watcher,
                               bool primary,
                               TimePoint now,
                               Actions& out) -> void {
  const bool is_ack_due = announcer.self.sequence % kAnnouncementsPerAck == 0;
  const bool asks_for_ack =
      is_ack_due || watcher.awaits_ack || !announcer.was_acknowledged;
  if (asks_for_ack && !watcher.awaits_ack) {
    watcher.awaits_ack = true;
    watcher.ack_requested_at = now;
  }
  out.emplace_back(SendAnnounce{
      .to = watcher.endpoint,
      .announcement =
          Announcement{.target = announcer.self,
                       .view_version = announcer.view.version,
                       .wants_ack = asks_for_ack,
                       .wants_view = primary && announcer.was_acknowledged}});
}

auto AnnounceToAllWatchers(Announcer& announcer, TimePoint now, Actions& out)
    -> void {
  ++announcer.self.sequence;
  announcer.last_announcement_at = now;
  announcer.has_announced = true;
  bool primary = true;
  for (auto& it : announcer.watchers) {
    SendAnnouncementToWatcher(announcer, it, primary, now, out);
    primary = false;
  }
}

/// Uses random seeds as watchers until a seed names the target's watchers.
auto ReplaceWatchersBySeeds(Announcer& announcer, Random& random) -> void {
  auto seeds = announcer.options.seeds;
  announcer.watchers.clear();
  announcer.was_acknowledged = false;
  while (!seeds.empty() && announcer.watchers.size() < kContactedSeedCount) {
    const auto n = static_cast<std::size_t>(DrawRandomFraction(random) *
                                            static_cast<double>(seeds.size()));
    announcer.watchers.push_back(detail::WatcherEntry{.endpoint = seeds[n]});
    seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

auto RemoveUnresponsiveWatchers(Announcer& announcer, TimePoint now) -> void {
  const auto timeout = announcer.options.ack_timeout;
  std::erase_if(announcer.watchers, [&](const detail::WatcherEntry& it) {
    return it.awaits_ack && now - it.ack_requested_at > timeout;
  });
}

/// Replaces the watchers by those that a balancer has named, if any; the
/// entries of watchers named again are kept.
/// @return Whether the watchers changed.
auto ReplaceWatchers(Announcer& announcer,
                     const std::vector<Endpoint>& endpoints) -> bool {
  const bool is_unchanged =
      std::equal(endpoints.begin(), endpoints.end(), announcer.watchers.begin(),
                 announcer.watchers.end(),
                 [](const Endpoint& a, const detail::WatcherEntry& b) {
                   return a == b.endpoint;
                 });
  if (endpoints.empty() || is_unchanged) {
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

auto SetAndAnnounceTargetState(Announcer& announcer,
                               TargetState state,
                               TimePoint now,
                               Actions& out) -> void {
  announcer.self.state = state;
  announcer.fast_announcements_left = kFastAnnouncementCount;
  AnnounceToAllWatchers(announcer, now, out);
}

}  // namespace

auto MakeAnnouncer(const AnnouncerOptions& options) -> Announcer {
  return Announcer{.options = options, .self = options.self};
}

auto OnAnnouncementAckReceived(Announcer& announcer,
                               Endpoint from,
                               const AnnouncementAck& ack,
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
    it.awaits_ack = it.awaits_ack && it.endpoint != from;
  }
  const bool watchers_changed = ReplaceWatchers(announcer, ack.watchers);
  announcer.was_acknowledged =
      announcer.was_acknowledged || !ack.watchers.empty();
  if (ack.has_view && ack.view.service == self.service &&
      ack.view.version != announcer.view.version) {
    announcer.view = ack.view;
    out.emplace_back(ViewChanged{ack.view});
  }
  if (ack.incarnation == self.incarnation) {
    self.sequence = std::max(self.sequence, ack.sequence);
  }
  const bool is_suspected =
      ack.state == TargetState::kSuspect || ack.state == TargetState::kDead;
  if (is_suspected) {
    ++self.sequence;
    detail::WatcherEntry watcher{.endpoint = from};
    SendAnnouncementToWatcher(announcer, watcher, false, now, out);
  }
  // The next tick announces the target to the new watchers at a bounded rate.
  announcer.fast_announcements_left =
      std::max(announcer.fast_announcements_left, watchers_changed ? 1U : 0U);
}

auto OnAnnouncerTick(Announcer& announcer,
                     TimePoint now,
                     Random& random,
                     std::vector<AnnouncerAction>& out) -> TimePoint {
  const auto& options = announcer.options;
  const bool uses_fast_interval =
      announcer.fast_announcements_left > 0 || !announcer.was_acknowledged;
  const auto interval = uses_fast_interval ? options.fast_announcement_interval
                                           : options.announcement_interval;
  if (announcer.has_announced &&
      now - announcer.last_announcement_at < interval) {
    return announcer.last_announcement_at + interval;
  }
  RemoveUnresponsiveWatchers(announcer, now);
  if (announcer.watchers.empty() || !announcer.was_acknowledged) {
    ReplaceWatchersBySeeds(announcer, random);
  }
  AnnounceToAllWatchers(announcer, now, out);
  announcer.fast_announcements_left -=
      announcer.fast_announcements_left > 0 ? 1 : 0;
  const bool stays_fast =
      announcer.fast_announcements_left > 0 || !announcer.was_acknowledged;
  return now + (stays_fast ? options.fast_announcement_interval
                           : options.announcement_interval);
}

auto SetTargetLoad(Announcer& announcer, const TargetLoad& load) -> void {
  announcer.self.load = load;
}

auto BeginDrain(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state == TargetState::kServing) {
    SetAndAnnounceTargetState(announcer, TargetState::kDraining, now, out);
  }
}

auto CancelDrain(Announcer& announcer,
                 TimePoint now,
                 std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state == TargetState::kDraining) {
    SetAndAnnounceTargetState(announcer, TargetState::kServing, now, out);
  }
}

auto AnnounceShutdown(Announcer& announcer,
                      TimePoint now,
                      std::vector<AnnouncerAction>& out) -> void {
  if (announcer.self.state != TargetState::kLeft) {
    SetAndAnnounceTargetState(announcer, TargetState::kLeft, now, out);
  }
}

}  // namespace hawthornbank
