#ifndef HAWTHORNBANK_BENCH_COMMON_VIRTUAL_NETWORK_H_
#define HAWTHORNBANK_BENCH_COMMON_VIRTUAL_NETWORK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <vector>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

namespace hawthornbank::bench {

/// Delay, jitter and loss of a link.
struct Link {
  Duration delay = std::chrono::milliseconds{1};
  Duration jitter{0};
  double loss = 0;
};

/// Event queue in virtual time with links between hosts. A host can be frozen
/// or killed.
///
/// Hosts are numbers that the network's user chooses. Events of the same
/// instant run in the order in which they were added, so a run is repeatable.
class VirtualNetwork {
 public:
  using Action = std::function<void()>;
  /// Chooses the link between two hosts at the current time.
  using LinkRule = std::function<Link(std::uint64_t from, std::uint64_t to)>;

  /// @param seed Seed of the random numbers that decide losses and jitter.
  explicit VirtualNetwork(std::uint64_t seed) : random_(seed) {}

  /// @return Current virtual time.
  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  /// @return Random number generator of this network's run.
  auto random() -> Random& { return random_; }
  /// @param rule Chooses the link of each message; by default, all links are
  ///   `Link{}`.
  auto SetLinkRule(LinkRule rule) -> void { link_rule_ = std::move(rule); }

  /// Schedules an action for a virtual time; a past time means now.
  auto ScheduleAction(TimePoint when, Action action) -> void;
  /// Schedules an action on a host. If the host is dead at the time `when`, the
  /// action is dropped; if the host is frozen, the action runs after
  /// ThawHost().
  auto ScheduleActionOnHost(std::uint64_t host, TimePoint when, Action action)
      -> void;
  /// Sends a message over the link between two hosts. The link may lose the
  /// message.
  auto SendMessage(std::uint64_t from, std::uint64_t to, Action deliver)
      -> void;

  /// Drops all actions of a host and messages to the host until ReviveHost().
  auto KillHost(std::uint64_t host) -> void { dead_.insert(host); }
  auto ReviveHost(std::uint64_t host) -> void { dead_.erase(host); }
  /// Delays all actions of a host and messages to the host until ThawHost().
  auto FreezeHost(std::uint64_t host) -> void { frozen_.insert(host); }
  auto ThawHost(std::uint64_t host) -> void;

  /// Runs every event up to and including the time `end`.
  auto RunUntil(TimePoint end) -> void;

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order;
    Action action;
  };
  struct IsLater {
    auto operator()(const Event& a, const Event& b) const -> bool {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };
  struct HeldAction {
    std::uint64_t host;
    Action action;
  };

  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  Random random_;
  LinkRule link_rule_;
  std::set<std::uint64_t> dead_;
  std::set<std::uint64_t> frozen_;
  std::vector<HeldAction> held_;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_VIRTUAL_NETWORK_H_
