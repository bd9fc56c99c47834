#include "coordination/request_queue.h"

#include <algorithm>
#include <cmath>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kDoublesPerOrdinary = 2;
// A caller is greedy if it has more than kMinGreedyItems requests queued in a
// class and more than kGreedyFactor times as many as the caller of a new
// request of this class. Only requests of greedy callers are evicted.
constexpr std::size_t kMinGreedyItems = 4;
constexpr std::size_t kGreedyFactor = 3;
// Factor by which each request added to a class reduces `recent_max_callers`.
constexpr double kRecentCallersDecay = 0.99;

auto SelectQueueClass(RequestQueue& queue, const QueueItem& item)
    -> QueueClass& {
  return item.has_double_weight ? queue.double_class : queue.ordinary_class;
}

auto SelectQueueClass(const RequestQueue& queue, const QueueItem& item)
    -> const QueueClass& {
  return item.has_double_weight ? queue.double_class : queue.ordinary_class;
}

auto CountCallerRequests(const QueueClass& from, std::uint64_t caller)
    -> std::size_t {
  const auto caller_queue = from.caller_queues.find(caller);
  return caller_queue == from.caller_queues.end() ? 0
                                                  : caller_queue->second.size();
}

auto PopRequestFromClass(QueueClass& from) -> QueueItem {
  const auto caller = from.caller_order.front();
  from.caller_order.pop_front();
  const auto caller_queue = from.caller_queues.find(caller);
  const auto item = caller_queue->second.front();
  caller_queue->second.pop_front();
  --from.size;
  if (caller_queue->second.empty()) {
    from.caller_queues.erase(caller_queue);
  } else {
    from.caller_order.push_back(caller);
  }
  return item;
}

// Returns the maximum number of requests of the class that are served before a
// new request of `caller`. Each round is assumed to serve one request of every
// other caller, because these callers may queue more requests in the meantime.
auto ComputeMaxRequestsAheadInClass(const QueueClass& from,
                                    std::uint64_t caller) -> std::size_t {
  const auto own_requests = CountCallerRequests(from, caller);
  const std::size_t own_queues = own_requests > 0 ? 1 : 0;
  const auto other_callers = from.caller_queues.size() - own_queues;
  const auto expected_callers =
      static_cast<std::size_t>(std::ceil(from.recent_max_callers));
  // Callers that join the queue later are served before each request of
  // `caller` except the first.
  const auto callers_per_later_round = std::max(
      other_callers, expected_callers - std::min(expected_callers, own_queues));
  return own_requests + other_callers + callers_per_later_round * own_requests;
}

auto HasQueuedOrRecentRequests(const QueueClass& it) -> bool {
  return it.size > 0 || it.pushes_since_last < kRecentPushes;
}

}  // namespace

auto CountQueuedRequests(const RequestQueue& queue) -> std::size_t {
  return queue.double_class.size + queue.ordinary_class.size;
}

auto PushRequest(RequestQueue& queue, const QueueItem& item) -> void {
  auto& to = SelectQueueClass(queue, item);
  auto& caller_queue = to.caller_queues[item.caller];
  if (caller_queue.empty()) {
    to.caller_order.push_back(item.caller);
  }
  caller_queue.push_back(item);
  ++to.size;
  ++queue.double_class.pushes_since_last;
  ++queue.ordinary_class.pushes_since_last;
  to.pushes_since_last = 0;
  to.recent_max_callers = std::max(static_cast<double>(to.caller_queues.size()),
                                   to.recent_max_callers * kRecentCallersDecay);
}

auto PopNextRequest(RequestQueue& queue) -> std::optional<QueueItem> {
  if (CountQueuedRequests(queue) == 0) {
    return std::nullopt;
  }
  const bool take_double = queue.ordinary_class.size == 0 ||
                           (queue.double_class.size > 0 &&
                            queue.doubles_since_ordinary < kDoublesPerOrdinary);
  if (take_double) {
    ++queue.doubles_since_ordinary;
    return PopRequestFromClass(queue.double_class);
  }
  queue.doubles_since_ordinary = 0;
  return PopRequestFromClass(queue.ordinary_class);
}

auto RemoveRequest(RequestQueue& queue, const QueueItem& item) -> bool {
  auto& from = SelectQueueClass(queue, item);
  const auto caller_queue = from.caller_queues.find(item.caller);
  if (caller_queue == from.caller_queues.end()) {
    return false;
  }
  const auto removed = std::erase_if(
      caller_queue->second,
      [&](const QueueItem& it) { return it.request == item.request; });
  from.size -= removed;
  if (caller_queue->second.empty()) {
    from.caller_queues.erase(caller_queue);
    std::erase(from.caller_order, item.caller);
  }
  return removed != 0;
}

auto ComputeMaxRequestsAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t {
  const auto ahead = ComputeMaxRequestsAheadInClass(
      SelectQueueClass(queue, item), item.caller);
  // More requests of the other class may arrive while this request waits.
  if (item.has_double_weight) {
    const bool contended = HasQueuedOrRecentRequests(queue.ordinary_class);
    return contended ? ahead + 1 + ahead / kDoublesPerOrdinary : ahead;
  }
  const bool contended = HasQueuedOrRecentRequests(queue.double_class);
  return contended ? ahead + kDoublesPerOrdinary * (ahead + 1) : ahead;
}

auto ListRequestsInServingOrder(const RequestQueue& queue)
    -> std::vector<QueueItem> {
  std::vector<QueueItem> order;
  auto rest = queue;
  while (const auto item = PopNextRequest(rest)) {
    order.push_back(*item);
  }
  return order;
}

auto ChooseRequestToEvict(const RequestQueue& queue, const QueueItem& new_item)
    -> std::optional<QueueItem> {
  const auto& from = SelectQueueClass(queue, new_item);
  const auto longest_queue =
      std::max_element(from.caller_queues.begin(), from.caller_queues.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.size() < b.second.size();
                       });
  const auto own_requests = CountCallerRequests(from, new_item.caller);
  const bool greedy =
      longest_queue != from.caller_queues.end() &&
      longest_queue->second.size() >
          std::max(kMinGreedyItems, kGreedyFactor * own_requests);
  if (!greedy) {
    return std::nullopt;
  }
  return longest_queue->second.back();
}

}  // namespace hawthornbank
