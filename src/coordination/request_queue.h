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
/// Requests that wait for a slot, taken from their callers in turn.
namespace hawthornbank {

/// One waiting request.
struct QueueItem {
  RequestHandle request{};
  std::uint64_t caller = 0;
  bool counts_double = false;
};

/// A class with a request among so many latest ones counts as in use.
inline constexpr std::uint32_t kRecentPushes = 32;

/// Requests of one class; callers are served round robin.
struct QueueClass {
  std::map<std::uint64_t, std::deque<QueueItem>> lines;  ///< None is empty.
  std::deque<std::uint64_t> turns;  ///< Callers in the order of turns.
  std::size_t size = 0;
  /// Most callers that waited of late; sinks slowly.
  double usual_lines = 0;
  /// Requests that the queue took since the last one of this class.
  std::uint32_t pushes_since = kRecentPushes;
};

/// Two classes: of those that count double, two are taken for each ordinary
/// one. Requests admitted later never delay the only one of a caller beyond
/// CountAhead.
struct RequestQueue {
  QueueClass double_ones;
  QueueClass ordinary;
  std::uint32_t doubles_taken = 0;  ///< Since the last ordinary one.
};

/// @param queue The queue.
/// @return How many requests wait.
auto SizeOf(const RequestQueue& queue) -> std::size_t;

/// Adds a request behind those of its caller.
/// @param queue The queue.
/// @param item The request.
auto Push(RequestQueue& queue, const QueueItem& item) -> void;

/// Takes the next request.
/// @param queue The queue.
/// @return The request, or nothing when the queue is empty.
auto Pop(RequestQueue& queue) -> std::optional<QueueItem>;

/// Takes a request out, wherever it stands.
/// @param queue The queue.
/// @param item The request.
/// @return Whether it was there.
auto Remove(RequestQueue& queue, const QueueItem& item) -> bool;

/// @param queue The queue.
/// @param item A request that would be added.
/// @return The most requests that are served before it, unless more callers
///   join while its caller's other requests are served.
auto CountAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t;

/// @param queue The queue.
/// @return All requests in the order in which they are served if none comes.
auto ServingOrder(const RequestQueue& queue) -> std::vector<QueueItem>;

/// Chooses what a full queue gives up for a newcomer.
/// @param queue The queue.
/// @param newcomer The request that has no room.
/// @return The newest request of a caller that holds far more; nothing when it
///   is the newcomer that has to go.
auto ChooseVictim(const RequestQueue& queue, const QueueItem& newcomer)
    -> std::optional<QueueItem>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
