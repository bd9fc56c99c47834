#include "hawthornbank/work_order.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornbank {
namespace {

// Weight of an answer in the mean time between answers.
constexpr int kIntervalWeight = 8;

constexpr std::array<std::string_view, kHandOverReasonCount> kReasonNames = {
    "room",        "unordered",  "not_servable",
    "place_freed", "wait_ended", "displaced",
};
static_assert(!kReasonNames.back().empty());

auto ClampPriority(const FlowTerms& terms) -> std::size_t {
  return std::min<std::size_t>(terms.priority, kOrderedPriorities - 1);
}

auto ComputeCapacity(const WorkOrder& order, std::size_t slots) -> std::size_t {
  return order.capacity == 0 ? slots + order.options.assumed_queue_places
                             : order.capacity;
}

auto IsLeastUrgent(const WorkOrder& order, std::size_t priority) -> bool {
  return (order.seen_priorities >> (priority + 1)).none();
}

auto ComputeLongestWait(const WorkOrder& order, const FlowTerms& terms)
    -> Duration {
  const WorkOrderOptions& options = order.options;
  const double share = IsLeastUrgent(order, ClampPriority(terms))
                           ? options.max_wait_share_of_least
                           : options.max_wait_share;
  return std::min(std::chrono::duration_cast<Duration>(
                      std::chrono::milliseconds{terms.goal_ms} * share),
                  options.max_wait);
}

auto IsMoreUrgent(const WaitingRequest& a, const WaitingRequest& b) -> bool {
  const auto a_priority = ClampPriority(a.terms);
  const auto b_priority = ClampPriority(b.terms);
  if (a_priority != b_priority) {
    return a_priority < b_priority;
  }
  return a.arrived_at + std::chrono::milliseconds{a.terms.goal_ms} <
         b.arrived_at + std::chrono::milliseconds{b.terms.goal_ms};
}

auto CountBytes(const WaitingRequest& request) -> std::size_t {
  std::size_t bytes = 0;
  for (const WaitingPacket& packet : request.packets) {
    bytes += packet.bytes.size();
  }
  return bytes;
}

auto FindWaiting(WorkOrder& order, RequestId id) {
  return std::ranges::find(order.waiting, id, &WaitingRequest::id);
}

auto MakePending(WorkOrder& order,
                 RequestId id,
                 HandOverReason reason,
                 TimePoint now) -> void {
  ++order.handed_over.at(static_cast<std::size_t>(reason));
  order.pending.push_back(PendingRequest{
      .id = id, .ahead = order.pending.size(), .handed_over_at = now});
}

// Records that a request of a priority got a place while others wait.
auto CountPlace(WorkOrder& order, std::size_t priority) -> void {
  order.places_without.at(priority) = 0;
  for (std::size_t n = priority + 1; n < kOrderedPriorities; ++n) {
    if (order.seen_priorities.test(n)) {
      ++order.places_without.at(n);
    }
  }
}

auto IsOwedPlace(const WorkOrder& order, std::size_t priority) -> bool {
  return order.places_without.at(priority) >= order.options.max_places_without;
}

// Chooses the request that gets the next place: one of the least urgent
// priority that is owed a place, else the most urgent one.
auto ChooseNext(WorkOrder& order) {
  auto chosen = order.waiting.begin();
  for (auto it = chosen; it != order.waiting.end(); ++it) {
    const auto priority = ClampPriority(it->terms);
    if (priority > ClampPriority(chosen->terms) &&
        IsOwedPlace(order, priority)) {
      chosen = it;
    }
  }
  return chosen;
}

// Computes the place of a new request in the order; 1 is the next.
auto ComputePosition(const WorkOrder& order, const WaitingRequest& request)
    -> std::size_t {
  const auto priority = ClampPriority(request.terms);
  const bool waits_alone =
      std::ranges::none_of(order.waiting, [priority](const auto& other) {
        return ClampPriority(other.terms) == priority;
      });
  if (waits_alone && IsOwedPlace(order, priority)) {
    return 1;
  }
  return 1 + static_cast<std::size_t>(
                 std::ranges::count_if(order.waiting, [&](const auto& other) {
                   return !IsMoreUrgent(request, other);
                 }));
}

// Ends the wait of the least urgent requests until a new one fits. Returns
// false if the new request is itself the least urgent.
auto MakeRoom(WorkOrder& order,
              const WaitingRequest& added,
              std::size_t bytes,
              TimePoint now) -> bool {
  std::size_t kept = order.waiting_bytes + bytes;
  for (auto it = order.waiting.rbegin(); kept > order.options.max_waiting_bytes;
       ++it) {
    if (it == order.waiting.rend() || !IsMoreUrgent(added, *it)) {
      return false;
    }
    kept -= CountBytes(*it);
    it->wait_until = now;
    it->reason_at_end = HandOverReason::kDisplaced;
  }
  return true;
}

auto DecideAtArrival(WorkOrder& order,
                     std::size_t slots,
                     const std::optional<FlowTerms>& terms,
                     const WaitingRequest& request,
                     std::size_t bytes,
                     TimePoint now) -> HandOverReason {
  if (!terms.has_value() || terms->goal_ms == 0 || slots == 0 ||
      order.seen_priorities.count() < 2) {
    return HandOverReason::kUnordered;
  }
  const bool has_place = order.pending.size() < ComputeCapacity(order, slots);
  if (has_place &&
      (order.waiting.empty() || IsMoreUrgent(request, order.waiting.front()))) {
    return HandOverReason::kRoom;
  }
  const auto position =
      static_cast<Duration::rep>(ComputePosition(order, request));
  if (position * order.place_interval >
      ComputeLongestWait(order, request.terms)) {
    return HandOverReason::kNotServable;
  }
  return MakeRoom(order, request, bytes, now) ? HandOverReason::kPlaceFreed
                                              : HandOverReason::kDisplaced;
}

auto TakeRequest(WorkOrder& order,
                 std::vector<WaitingRequest>::iterator it,
                 HandOverReason reason,
                 TimePoint now) -> HandedOverRequest {
  HandedOverRequest taken{.request = std::move(*it), .reason = reason};
  order.waiting.erase(it);
  order.waiting_bytes -= CountBytes(taken.request);
  MakePending(order, taken.request.id, reason, now);
  const Duration waited = now - taken.request.arrived_at;
  const auto bucket = std::ranges::lower_bound(kWaitBuckets, waited);
  ++order.waits.at(
      static_cast<std::size_t>(std::distance(kWaitBuckets.begin(), bucket)));
  return taken;
}

// Learns from an answer which shows that the target had taken `taken` requests.
// An answer that is still on its way makes this number too large, so several
// must agree to increase the capacity. One step at a time bounds what a short
// request that overtakes others by chance can do.
auto LearnCapacity(WorkOrder& order, std::size_t slots, std::size_t taken)
    -> void {
  const std::size_t capacity = ComputeCapacity(order, slots);
  if (taken <= capacity) {
    order.capacity = std::max(slots, std::max(taken, capacity - 1));
    order.signs_of_more_capacity = 0;
  } else if (++order.signs_of_more_capacity >=
             order.options.signs_before_growth) {
    order.capacity =
        std::min(capacity + 1, slots + order.options.max_queue_places);
    order.signs_of_more_capacity = 0;
  }
}

// Learns the time between places from answers while all slots are taken.
auto RecordPlaceInterval(WorkOrder& order, std::size_t slots, TimePoint now)
    -> void {
  if (order.answered_at != TimePoint{}) {
    const Duration interval = now - order.answered_at;
    order.place_interval +=
        order.place_interval == Duration{}
            ? interval
            : (interval - order.place_interval) / kIntervalWeight;
  }
  order.answered_at = order.pending.size() >= slots ? now : TimePoint{};
}

}  // namespace

auto ToString(HandOverReason reason) -> std::string_view {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

auto RecordPriority(WorkOrder& order, const std::optional<FlowTerms>& terms)
    -> void {
  if (terms.has_value()) {
    order.seen_priorities.set(ClampPriority(*terms));
  }
}

auto BeginRequest(WorkOrder& order,
                  std::size_t slots,
                  const FlowKey& flow,
                  const std::optional<FlowTerms>& terms,
                  std::size_t bytes,
                  TimePoint now) -> RequestId {
  const RequestId id = order.next_id;
  order.next_id = id + 1 == 0 ? 1 : id + 1;
  WaitingRequest request{.id = id,
                         .flow = flow,
                         .terms = terms.value_or(FlowTerms{}),
                         .arrived_at = now};
  const auto priority = ClampPriority(request.terms);
  RecordPriority(order, terms);
  const HandOverReason reason =
      DecideAtArrival(order, slots, terms, request, bytes, now);
  if (reason != HandOverReason::kPlaceFreed) {
    MakePending(order, id, reason, now);
    if (reason == HandOverReason::kRoom) {
      order.places_without.at(priority) = 0;
    }
    return id;
  }
  request.wait_until = now + ComputeLongestWait(order, request.terms);
  order.waiting.insert(
      std::ranges::upper_bound(order.waiting, request, IsMoreUrgent),
      std::move(request));
  return id;
}

auto IsWaiting(const WorkOrder& order, RequestId id) -> bool {
  return std::ranges::find(order.waiting, id, &WaitingRequest::id) !=
         order.waiting.end();
}

auto AppendToWaitingRequest(WorkOrder& order,
                            RequestId id,
                            WaitingPacket packet) -> void {
  const auto request = FindWaiting(order, id);
  if (request == order.waiting.end()) {
    return;
  }
  order.waiting_bytes += packet.bytes.size();
  const auto repeated =
      std::ranges::find_if(request->packets, [&packet](const auto& other) {
        return packet.data_bytes > 0 && other.sequence == packet.sequence &&
               other.data_bytes == packet.data_bytes;
      });
  if (repeated != request->packets.end()) {
    order.waiting_bytes -= repeated->bytes.size();
    *repeated = std::move(packet);
    return;
  }
  request->packets.push_back(std::move(packet));
  const std::size_t packets = request->packets.size();
  // MakeRoom has seen to the first packet.
  if (packets > order.options.max_packets_per_request ||
      (packets > 1 && order.waiting_bytes > order.options.max_waiting_bytes)) {
    request->wait_until = {};
    request->reason_at_end = HandOverReason::kDisplaced;
  }
}

auto RecordRequestAnswered(WorkOrder& order,
                           std::size_t slots,
                           RequestId id,
                           TimePoint now) -> void {
  const auto it = std::ranges::find(order.pending, id, &PendingRequest::id);
  if (it == order.pending.end()) {
    return;
  }
  const PendingRequest answered = *it;
  const auto older =
      static_cast<std::size_t>(std::distance(order.pending.begin(), it));
  const auto next = order.pending.erase(it);
  if (slots > 0 && older >= slots &&
      now - answered.handed_over_at <= order.options.max_refusal_time) {
    ++order.refused;
    std::for_each(next, order.pending.end(),
                  [](PendingRequest& later) { --later.ahead; });
    LearnCapacity(order, slots, answered.ahead);
    return;
  }
  if (answered.ahead >= ComputeCapacity(order, slots)) {
    LearnCapacity(order, slots, answered.ahead + 1);
  }
  RecordPlaceInterval(order, slots, now);
}

auto RecordRequestReset(WorkOrder& order, std::size_t slots, RequestId id)
    -> void {
  const std::size_t pending = order.pending.size();
  const bool is_pending =
      std::ranges::find(order.pending, id, &PendingRequest::id) !=
      order.pending.end();
  // A target that fails resets requests whether it is full or not.
  if (is_pending && pending > ComputeCapacity(order, slots)) {
    order.reset_limit =
        order.reset_limit == 0 ? pending : std::min(order.reset_limit, pending);
  }
}

auto MustRejectOpening(const WorkOrder& order,
                       std::size_t slots,
                       const std::optional<FlowTerms>& terms,
                       std::size_t expected_requests) -> bool {
  if (!terms.has_value() || terms->goal_ms == 0 || slots == 0 ||
      order.seen_priorities.count() < 2) {
    return false;
  }
  const std::size_t capacity = ComputeCapacity(order, slots);
  const std::size_t requests =
      order.pending.size() + order.waiting.size() + expected_requests;
  if (requests < slots) {
    return false;
  }
  const bool is_least = IsLeastUrgent(order, ClampPriority(*terms));
  const double share = is_least ? order.options.max_opening_wait_share_of_least
                                : order.options.max_opening_wait_share;
  const auto places = static_cast<Duration::rep>(requests + 1 - slots);
  if (places * order.place_interval >
      std::chrono::milliseconds{terms->goal_ms} * share) {
    return true;
  }
  if (is_least) {
    return requests >= capacity;
  }
  // Leaves room for requests on flows that are open already. The capacity may
  // have grown to the limit since the target was seen to reset flows.
  return order.reset_limit != 0 &&
         requests >= (capacity + std::max(order.reset_limit, capacity)) / 2;
}

auto EndRequest(WorkOrder& order, RequestId id) -> void {
  if (id == 0) {
    return;
  }
  const auto pending =
      std::ranges::find(order.pending, id, &PendingRequest::id);
  if (pending != order.pending.end()) {
    order.pending.erase(pending);
    return;
  }
  const auto waiting = FindWaiting(order, id);
  if (waiting != order.waiting.end()) {
    order.waiting_bytes -= CountBytes(*waiting);
    order.waiting.erase(waiting);
    ++order.dropped;
  }
}

auto ForgetTargetCapacity(WorkOrder& order) -> void {
  order.capacity = 0;
  order.signs_of_more_capacity = 0;
  order.reset_limit = 0;
  order.place_interval = {};
  order.answered_at = {};
}

auto TakeRequestsToHandOver(WorkOrder& order, std::size_t slots, TimePoint now)
    -> std::vector<HandedOverRequest> {
  std::vector<HandedOverRequest> taken;
  while (!order.waiting.empty() &&
         order.pending.size() < ComputeCapacity(order, slots)) {
    const auto next = ChooseNext(order);
    CountPlace(order, ClampPriority(next->terms));
    taken.push_back(TakeRequest(order, next, HandOverReason::kPlaceFreed, now));
  }
  for (std::size_t n = 0; n < order.waiting.size();) {
    const WaitingRequest& request = order.waiting[n];
    if (request.wait_until > now) {
      ++n;
      continue;
    }
    const HandOverReason reason = request.reason_at_end;
    taken.push_back(TakeRequest(
        order, order.waiting.begin() + static_cast<std::ptrdiff_t>(n), reason,
        now));
  }
  return taken;
}

}  // namespace hawthornbank
