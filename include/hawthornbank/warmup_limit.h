#ifndef HAWTHORNBANK_WARMUP_LIMIT_H_
#define HAWTHORNBANK_WARMUP_LIMIT_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "hawthornbank/types.h"

/// @file
/// Limits the requests that a cold target gets in any second, whichever
/// balancer sends them. All work of a target passes through its agent, so the
/// agent counts the requests and returns openings beyond the limit.
///
/// Load pattern: a burst of openings from many balancers when an empty target
/// appears; targets and agents that restart in the middle of a warm-up.
namespace hawthornbank {

/// Span in which the requests of a cold target are counted: a second, and a
/// margin for packets that arrived after the time at which they are counted was
/// read.
inline constexpr Duration kWarmupWindow = std::chrono::milliseconds{1020};

/// Time after the warm-up in which the limit rises, before it ends.
inline constexpr Duration kWarmupRampTime = std::chrono::seconds{2};

/// Time in which the limit doubles while it rises.
inline constexpr Duration kWarmupDoublingTime = std::chrono::milliseconds{400};

/// Value of TargetLoad::openings_left when no limit is in force.
inline constexpr std::uint8_t kUnlimitedOpenings = 0xFF;

/// Largest other value of TargetLoad::openings_left that is sent.
inline constexpr std::uint8_t kMaxReportedOpenings = 126;

/// Requests that an agent has sent to its target, and when the target is cold.
struct WarmupLimit {
  /// Requests that the cold target may get in a second; 0: no limit is known.
  std::uint16_t requests_per_second = 0;
  /// End of the warm-up; empty while it is unknown, and the target counts as
  /// cold.
  std::optional<TimePoint> warm_at;
  TimePoint heartbeat_at{};  ///< Arrival of the target's newest heartbeat.
  /// When the target last behaved as if it had restarted. It counts as cold
  /// until a later heartbeat.
  TimePoint restart_suspected_at{};
  /// Start of the agent. Requests that an earlier process of the agent sent
  /// aren't known.
  TimePoint counting_since{};
  /// Times of the requests in the last kWarmupWindow, in ascending order.
  std::deque<TimePoint> requests;
};

/// Sets the limit that a balancer sent with a flow.
/// @param warmup State of the limit.
/// @param requests_per_second The limit; 0 for no limit.
auto SetWarmupLimit(WarmupLimit& warmup, std::uint16_t requests_per_second)
    -> void;

/// Sets the end of the warm-up, as known from heartbeats.
/// @param warmup State of the limit.
/// @param warm_at End of the warm-up; empty while it is unknown.
/// @param heartbeat_at Arrival of the target's newest heartbeat.
auto SetWarmupEnd(WarmupLimit& warmup,
                  std::optional<TimePoint> warm_at,
                  TimePoint heartbeat_at) -> void;

/// Records that the target may have restarted and be cold.
/// @param warmup State of the limit.
/// @param now Current time.
auto SuspectTargetRestart(WarmupLimit& warmup, TimePoint now) -> void;

/// Counts a request that is sent to the target.
/// @param warmup State of the limit.
/// @param now Current time.
auto CountWarmupRequest(WarmupLimit& warmup, TimePoint now) -> void;

/// Counts a request on a flow, unless the flow's opening stands for it: the
/// first request of a flow that was opened less than kWarmupWindow ago.
/// @param warmup State of the limit.
/// @param opening_counted_at When the flow's opening was counted; empty when
///   the opening stands for no request. Is emptied.
/// @param now Current time.
auto CountWarmupFlowRequest(WarmupLimit& warmup,
                            std::optional<TimePoint>& opening_counted_at,
                            TimePoint now) -> void;

/// Computes the limit in force. After the warm-up, the limit applies for
/// another kWarmupWindow, as a second that began in the warm-up counts whole,
/// and rises for kWarmupRampTime.
/// @param warmup State of the limit.
/// @param now Current time.
/// @return Requests per second; empty when no limit is in force.
auto ComputeWarmupLimitInForce(const WarmupLimit& warmup, TimePoint now)
    -> std::optional<double>;

/// @param warmup State of the limit.
/// @param now Current time.
/// @return Number of requests sent to the target in the last kWarmupWindow.
auto CountWarmupRequestsInWindow(const WarmupLimit& warmup, TimePoint now)
    -> std::size_t;

/// Computes how many openings the target may get at once.
/// @param warmup State of the limit.
/// @param knows_all_requests Whether all requests since the target's start have
///   been counted.
/// @param now Current time.
/// @return Number of openings, up to kMaxReportedOpenings; kUnlimitedOpenings
///   when no limit is in force.
auto CountWarmupOpeningsLeft(const WarmupLimit& warmup,
                             bool knows_all_requests,
                             TimePoint now) -> std::uint8_t;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_WARMUP_LIMIT_H_
