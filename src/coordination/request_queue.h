#ifndef HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
#define HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

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

/// Deficit round robin over callers; a caller whose requests count double
/// has two of them taken in its turn.
struct RequestQueue {
  struct Line {
    std::deque<QueueItem> items;
    std::uint32_t credit = 0;
  };
  std::map<std::uint64_t, Line> lines;  ///< By caller; none is empty.
  std::deque<std::uint64_t> turns;      ///< Callers in the order of turns.
  std::size_t size = 0;
};

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
/// @param caller A caller.
/// @return How many requests would be served before a new one of this caller.
auto CountAhead(const RequestQueue& queue, std::uint64_t caller) -> std::size_t;

/// Chooses what a full queue gives up for a newcomer.
/// @param queue The queue.
/// @param newcomer The request that has no room.
/// @return A request that is worth less or whose caller holds more; nothing
///   when it is the newcomer that has to go.
auto ChooseVictim(const RequestQueue& queue, const QueueItem& newcomer)
    -> std::optional<QueueItem>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_QUEUE_H_
