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

/// Number of latest pushes to the queue that count as recent. A class is in use
/// if it holds a request or received one of these pushes.
inline constexpr std::uint32_t kRecentPushes = 32;

/// Requests of one class; callers are served round robin.
struct QueueClass {
  /// Queued requests of each caller; a caller without any has no entry.
  std::map<std::uint64_t, std::deque<QueueItem>> caller_queues;
  std::deque<std::uint64_t> caller_order;  ///< The first is served next.
  std::size_t size = 0;                    ///< Number of queued requests.
  /// Recent maximum of the number of callers with queued requests; decays with
  /// each push to this class.
  double recent_max_callers = 0;
  /// Number of pushes to the queue since the last push to this class.
  std::uint32_t pushes_since_last = kRecentPushes;
};

/// Queue with two classes: two requests of the double class are served for each
/// request of the ordinary class. At most ComputeMaxRequestsAhead() requests
/// are served before the only request of a caller, even if more requests are
/// added later.
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

/// Removes the request that is to be served next.
/// @param queue The queue.
/// @return The request, or nothing when the queue is empty.
auto PopNextRequest(RequestQueue& queue) -> std::optional<QueueItem>;

/// Removes a request from any position.
/// @param queue The queue.
/// @param item The request.
/// @return Whether the request was in the queue.
auto RemoveRequest(RequestQueue& queue, const QueueItem& item) -> bool;

/// @param queue The queue.
/// @param item The request to add.
/// @return Maximum number of requests served before `item`, unless more callers
///   join while the other requests of the item's caller are served.
auto ComputeMaxRequestsAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t;

/// @param queue The queue.
/// @return All queued requests in the order in which they are served if no
///   request is added.
auto ListRequestsInServingOrder(const RequestQueue& queue)
    -> std::vector<QueueItem>;

/// Chooses the request that a full queue evicts in favour of a new one.
/// @param queue The queue.
/// @param new_item The new request.
/// @return The newest request of the caller with the most queued requests of
///   the same class. Nothing if that caller doesn't have far more than the
///   caller of `new_item`: the new request has to be refused instead.
auto ChooseRequestToEvict(const RequestQueue& queue, const QueueItem& new_item)
    -> std::optional<QueueItem>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
