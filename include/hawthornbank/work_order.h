#ifndef HAWTHORNBANK_WORK_ORDER_H_
#define HAWTHORNBANK_WORK_ORDER_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/flow_terms.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/types.h"

/// @file
/// Order of the requests that wait for a place at an agent's target.
///
/// Load pattern handled: callers of several priorities send a target more
/// requests than its slots and its queue take, on flows that can't move to
/// another target, and send refused requests again. The target's queue is first
/// in, first out, and the target refuses what doesn't fit, so chance decides
/// which priority is refused. While the target's queue is full, requests wait
/// at the agent for a short time, and each place that becomes free goes to the
/// most urgent of them.
namespace hawthornbank {

/// Identifies a request of a WorkOrder; 0 is no request.
using RequestId = std::uint32_t;

/// Limits of the requests that wait at an agent.
struct WorkOrderOptions {
  /// Requests beyond its slots that a target is assumed to take until its
  /// answers show how many it takes.
  std::size_t assumed_queue_places = 8;
  /// The most such requests that the agent expects of a target.
  std::size_t max_queue_places = 12;
  /// Part of a request's goal for which the request may wait. A request that
  /// waits longer than a quarter of its goal is worth less to its caller than
  /// one that is refused at once.
  double max_wait_share = 0.2;
  /// The same for the least urgent of the priorities. A refusal that comes soon
  /// leaves its caller more time to try again.
  double max_wait_share_of_least = 0.05;
  /// Longest wait. It is shorter than the time after which callers retransmit.
  Duration max_wait = std::chrono::milliseconds{120};
  /// Part of a request's goal that may pass until a target begins to work on
  /// it, for an opening to be accepted.
  double max_opening_wait_share = 1;
  /// The same for the least urgent of the priorities. Requests on its open
  /// flows can't be rejected and take the rest of the queue.
  double max_opening_wait_share_of_least = 0.25;
  /// Longest time in which a target refuses a request.
  Duration max_refusal_time = std::chrono::milliseconds{5};
  /// Places that may go to other priorities before a waiting request of a less
  /// urgent priority gets one, so that no priority starves.
  std::size_t max_places_without = 9;
  /// Answers in succession which show that the target takes more requests than
  /// assumed, before the assumption grows.
  std::size_t signs_before_growth = 4;
  std::size_t max_waiting_bytes = 131'072;
  /// Packets of one request that wait. A request with more is handed over.
  std::size_t max_packets_per_request = 16;
};

/// A packet of a request that waits.
struct WaitingPacket {
  std::vector<std::uint8_t> bytes;
  RelayHeader header;
  std::uint32_t sequence = 0;
  std::uint16_t data_bytes = 0;
};

/// Why a request was handed to the target.
enum class HandOverReason : std::uint8_t {
  kRoom,         ///< The target had a free place, so the request didn't wait.
  kUnordered,    ///< There is no order, or the request's terms are unknown.
  kNotServable,  ///< No place would become free within the longest wait.
  kPlaceFreed,   ///< The request waited and got the next free place.
  kWaitEnded,    ///< The request waited for the longest time.
  kDisplaced,    ///< The bytes of waiting requests exceeded their limit.
  kCount,
};

/// Number of values of HandOverReason.
inline constexpr auto kHandOverReasonCount =
    static_cast<std::size_t>(HandOverReason::kCount);

/// @param reason A reason.
/// @return Name of the reason in logs and metrics.
auto ToString(HandOverReason reason) -> std::string_view;

/// A request that waits for a place at the target.
struct WaitingRequest {
  RequestId id = 0;
  FlowKey flow;
  FlowTerms terms;
  TimePoint arrived_at{};
  TimePoint wait_until{};
  HandOverReason reason_at_end = HandOverReason::kWaitEnded;
  std::vector<WaitingPacket> packets;  ///< In the order of their arrival.
};

/// A waiting request that is handed to the target now.
struct HandedOverRequest {
  WaitingRequest request;
  HandOverReason reason = HandOverReason::kPlaceFreed;
};

/// A request that was handed to the target and isn't answered yet.
struct PendingRequest {
  RequestId id = 0;
  /// Pending requests when it was handed over, without refused ones.
  std::size_t ahead = 0;
  TimePoint handed_over_at{};
};

/// Upper bounds of the buckets of WorkOrder::waits; the last has none.
inline constexpr std::array<Duration, 5> kWaitBuckets = {
    std::chrono::milliseconds{5}, std::chrono::milliseconds{20},
    std::chrono::milliseconds{40}, std::chrono::milliseconds{80},
    std::chrono::milliseconds{160}};

/// Priorities that are told apart; less urgent ones count as the last.
inline constexpr std::size_t kOrderedPriorities = 16;

/// Requests at one target: those that it has and those that wait.
struct WorkOrder {
  WorkOrderOptions options;
  std::vector<PendingRequest> pending;  ///< In the order of handing over.
  /// Ordered by priority, then by the end of the request's goal.
  std::vector<WaitingRequest> waiting;
  /// Requests that the target takes without refusing the next; 0: not known.
  std::size_t capacity = 0;
  std::size_t signs_of_more_capacity = 0;  ///< Without one of less.
  /// Pending requests at which the target resets flows; 0: not known.
  std::size_t reset_limit = 0;
  RequestId next_id = 1;
  std::bitset<kOrderedPriorities> seen_priorities;
  /// By priority: places that more urgent requests got since one of this
  /// priority got a place.
  std::array<std::size_t, kOrderedPriorities> places_without{};
  std::size_t waiting_bytes = 0;
  /// Mean time between answers while all slots are taken; 0: not known.
  Duration place_interval{};
  TimePoint answered_at{};  ///< The latest answer to a request that ran.
  std::array<std::uint64_t, kHandOverReasonCount> handed_over{};
  std::uint64_t dropped = 0;  ///< Requests whose callers had given up.
  std::uint64_t refused = 0;  ///< Requests that the target refused.
  std::array<std::uint64_t, kWaitBuckets.size() + 1> waits{};
};

/// Records the priority of a flow's requests. There is an order once two
/// priorities are known.
/// @param order The target's requests.
/// @param terms Terms of the flow; nothing if unknown.
auto RecordPriority(WorkOrder& order, const std::optional<FlowTerms>& terms)
    -> void;

/// Begins a request, which either waits or is handed to the target at once.
/// @param order The target's requests.
/// @param slots Number of the target's slots.
/// @param flow The request's flow.
/// @param terms Terms of the flow; nothing if unknown.
/// @param bytes Size of the request's first packet.
/// @param now Current time.
/// @return The request's id. If the request waits, its packets are added with
/// AppendToWaitingRequest.
auto BeginRequest(WorkOrder& order,
                  std::size_t slots,
                  const FlowKey& flow,
                  const std::optional<FlowTerms>& terms,
                  std::size_t bytes,
                  TimePoint now) -> RequestId;

/// @param order The target's requests.
/// @param id A request.
/// @return Whether the request waits, so that further packets of its flow must
/// wait behind it.
auto IsWaiting(const WorkOrder& order, RequestId id) -> bool;

/// Adds a packet to a waiting request. A retransmission takes the place of the
/// packet that it repeats.
/// @param order The target's requests.
/// @param id A request that waits.
/// @param packet A packet of the request's flow.
auto AppendToWaitingRequest(WorkOrder& order,
                            RequestId id,
                            WaitingPacket packet) -> void;

/// Records the target's answer to a request and learns from it how many
/// requests the target takes. A request that is answered before as many earlier
/// ones as the target has slots hasn't run: the target has refused it.
/// @param order The target's requests.
/// @param slots Number of the target's slots.
/// @param id The answered request.
/// @param now Current time.
auto RecordRequestAnswered(WorkOrder& order,
                           std::size_t slots,
                           RequestId id,
                           TimePoint now) -> void;

/// Records that the target reset the flow of a request, which full targets do
/// when they hold too many flows with requests.
/// @param order The target's requests.
/// @param slots Number of the target's slots.
/// @param id The request.
auto RecordRequestReset(WorkOrder& order, std::size_t slots, RequestId id)
    -> void;

/// Decides whether an opening is rejected, because the target has no place for
/// a request on the flow in time. A rejected opening has certainly not run, so
/// its caller may repeat it; a request that the target resets may not be.
/// @param order The target's requests.
/// @param slots Number of the target's slots.
/// @param terms Terms of the flow; nothing if unknown.
/// @param expected_requests First requests of new flows that haven't arrived
/// yet.
/// @return Whether the caller is to be told at once that the flow isn't opened.
auto MustRejectOpening(const WorkOrder& order,
                       std::size_t slots,
                       const std::optional<FlowTerms>& terms,
                       std::size_t expected_requests) -> bool;

/// Removes a request that has ended, for example because its caller gave up.
/// @param order The target's requests.
/// @param id The request; unknown ids are ignored.
auto EndRequest(WorkOrder& order, RequestId id) -> void;

/// Forgets what was learned of a target that has restarted.
/// @param order The target's requests.
auto ForgetTargetCapacity(WorkOrder& order) -> void;

/// Takes the requests that are handed to the target now: the most urgent ones
/// for which it has places, and those whose wait has ended.
/// @param order The target's requests.
/// @param slots Number of the target's slots.
/// @param now Current time.
/// @return The requests, in the order in which to send them.
auto TakeRequestsToHandOver(WorkOrder& order, std::size_t slots, TimePoint now)
    -> std::vector<HandedOverRequest>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_WORK_ORDER_H_
