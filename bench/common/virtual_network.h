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

/// Event queue in virtual time, with links, freezes and kills.
///
/// Hosts are numbers that the caller chooses. Events of the same instant run
/// in the order in which they were added, so a run is repeatable.
class VirtualNetwork {
 public:
  using Action = std::function<void()>;
  /// Chooses the link between two hosts at the present instant.
  using LinkRule = std::function<Link(std::uint64_t from, std::uint64_t to)>;

  /// @param seed Seed of losses and jitter.
  explicit VirtualNetwork(std::uint64_t seed) : random_(seed) {}

  /// @return The present virtual instant.
  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  /// @return The generator of this run.
  auto random() -> Random& { return random_; }
  /// @param rule Gives the link for each message; all links alike by default.
  auto SetLinkRule(LinkRule rule) -> void { link_rule_ = std::move(rule); }

  /// Runs an action at an instant.
  auto At(TimePoint when, Action action) -> void;
  /// Runs an action on a host at an instant, unless it is dead by then; a
  /// frozen host runs it when it thaws.
  auto AtHost(std::uint64_t host, TimePoint when, Action action) -> void;
  /// Delivers a message over the link between two hosts, or loses it.
  auto Send(std::uint64_t from, std::uint64_t to, Action deliver) -> void;

  /// Drops everything meant for a host until it is revived.
  auto Kill(std::uint64_t host) -> void { dead_.insert(host); }
  auto Revive(std::uint64_t host) -> void { dead_.erase(host); }
  /// Holds everything meant for a host until Thaw.
  auto Freeze(std::uint64_t host) -> void { frozen_.insert(host); }
  auto Thaw(std::uint64_t host) -> void;

  /// Runs every event up to and including an instant.
  auto RunUntil(TimePoint end) -> void;

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order;
    Action action;
  };
  struct Later {
    auto operator()(const Event& a, const Event& b) const -> bool {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };
  struct Held {
    std::uint64_t host;
    Action action;
  };

  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  Random random_;
  LinkRule link_rule_;
  std::set<std::uint64_t> dead_;
  std::set<std::uint64_t> frozen_;
  std::vector<Held> held_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_VIRTUAL_NETWORK_H_
