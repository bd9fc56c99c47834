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

/// A class counts as in use while it holds a request or one of this many latest
/// pushes was of that class.
inline constexpr std::uint32_t kRecentPushes = 32;

/// Requests of one class; callers are served round robin.
struct QueueClass {
  /// Queued requests by caller; no queue is empty.
  std::map<std::uint64_t, std::deque<QueueItem>> caller_queues;
  std::deque<std::uint64_t> caller_order;  ///< Callers in the order of service.
  std::size_t size = 0;
  /// Most callers that waited at the same time recently; decays slowly.
  double recent_max_callers = 0;
  /// Requests added to the queue since the last one of this class.
  std::uint32_t pushes_since_last = kRecentPushes;
};

/// Queue with two classes: two requests that count double are served for each
/// ordinary one. Requests added later never delay the only request of a caller
/// beyond the count that CountRequestsAhead returned.
struct RequestQueue {
  QueueClass double_class;
  QueueClass ordinary_class;
  /// Requests of the double class served since the last ordinary one.
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
/// @return The most requests that are served before it, unless more callers
///   join while its caller's other requests are served.
auto CountRequestsAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t;

/// @param queue The queue.
/// @return All requests in the order of service if no more are added.
auto ListInServingOrder(const RequestQueue& queue) -> std::vector<QueueItem>;

/// Chooses the request that a full queue evicts in favour of a newcomer.
/// @param queue The queue.
/// @param newcomer The request that finds the queue full.
/// @return The newest request of a caller that has far more requests queued;
///   nothing if the newcomer has to be refused instead.
auto ChooseRequestToEvict(const RequestQueue& queue, const QueueItem& newcomer)
    -> std::optional<QueueItem>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
