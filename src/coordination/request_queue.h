#ifndef HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
#define HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "hawthornbank/request_gate.h"

/// @file
/// Queue of the requests that wait for a slot; callers are served round robin.
namespace hawthornbank {

/// One queued request.
struct QueueItem {
  RequestHandle request{};
  std::uint64_t caller = 0;
  bool has_double_weight = false;
};

/// A class is in use while it holds a request or received one of this number
/// of latest pushes.
inline constexpr std::uint32_t kRecentPushes = 32;

/// Requests of one class; callers are served round robin.
struct QueueClass {
  /// Queued requests by caller; no queue is empty.
  std::map<std::uint64_t, std::deque<QueueItem>> caller_queues;
  std::deque<std::uint64_t> caller_order;  ///< Callers in the order of service.
  std::size_t size = 0;                    ///< Number of queued requests.
  /// Recent maximum of callers waiting at once; decays slowly.
  double recent_max_callers = 0;
  /// Number of pushes to the queue since the last push to this class.
  std::uint32_t pushes_since_last = kRecentPushes;
};

/// Queue with two classes: two requests of the double class are served for each
/// ordinary one. Requests added later never delay the only request of a caller
/// beyond the count that CountRequestsAhead returned.
struct RequestQueue {
  QueueClass double_class;
  QueueClass ordinary_class;
  /// Number of double-class requests served since the last ordinary one.
  std::uint32_t doubles_since_ordinary = 0;
};

/// @param queue The queue.
/// @return Number of queued requests.
auto CountQueuedRequests(const RequestQueue& queue) -> std::size_t;

/// Appends a request to the queue of its caller.
/// @param queue The queue.
/// @param item The request.
auto PushRequest(RequestQueue& queue, const QueueItem& item) -> void;

/// Removes the request that is served next.
/// @param queue The queue.
/// @return The request, or nothing when the queue is empty.
auto PopNextRequest(RequestQueue& queue) -> std::optional<QueueItem>;

/// Removes a request from any position.
/// @param queue The queue.
/// @param item The request.
/// @return Whether the request was in the queue.
auto RemoveRequest(RequestQueue& queue, const QueueItem& item) -> bool;

/// @param queue The queue.
/// @param item A request that would be added.
/// @return Maximum number of requests served before the item, unless more
///   callers join while the other requests of the item's caller are served.
auto CountRequestsAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t;

/// @param queue The queue.
/// @return All requests in the order of service when none is added.
auto ListInServingOrder(const RequestQueue& queue) -> std::vector<QueueItem>;

/// Chooses the request that a full queue evicts in favour of a new one.
/// @param queue The queue.
/// @param new_item The new request.
/// @return The newest request of a caller with far more queued requests;
///   nothing if the new request has to be refused instead.
auto ChooseRequestToEvict(const RequestQueue& queue, const QueueItem& new_item)
    -> std::optional<QueueItem>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
