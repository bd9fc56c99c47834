#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_WATCHES_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_WATCHES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "flow.h"
#include "options.h"

/// @file
/// Callers that hold a board or feed open and count what they miss.
namespace hawthornbank::load {

using Clock = std::chrono::steady_clock;

/// One held board.
struct Watch {
  const ServiceUnderLoad* service = nullptr;
  std::unique_ptr<Flow> flow;
  bool established = false;  ///< A first notification has come.
  bool failed = false;       ///< Reset, refused or without an answer.
  std::string target;        ///< Who answers this flow.
  std::uint64_t number = 0;  ///< Of the latest notification.
  Clock::time_point last;    ///< Latest notification or attempt.
};

/// Figures over all watches.
struct WatchCounters {
  std::uint64_t opened = 0;   ///< Flows that got a first notification.
  std::uint64_t broken = 0;   ///< Established flows that ended.
  std::uint64_t refused = 0;  ///< Openings refused or unanswered.
  std::uint64_t notifications = 0;
  std::uint64_t gaps = 0;           ///< Notifications that were missed.
  std::uint64_t moved = 0;          ///< Another target answered the flow.
  std::uint64_t wrong_service = 0;  ///< Another service answered.
};

/// All watches of a run. Its address must not change once watches are open.
struct Watches {
  std::vector<std::unique_ptr<Watch>> all;
  WatchCounters counters;
};

/// Reads one notification "service target number" and counts.
/// @param watches Where to count.
/// @param watch Whose notification it is.
/// @param payload Text of the notification.
/// @param now When it came.
auto Notice(Watches& watches,
            Watch& watch,
            const std::string& payload,
            Clock::time_point now) -> void;

/// Opens watches spread evenly over the services that have a board.
/// @param watches Where to keep them.
/// @param context Client context.
/// @param options Services and number of watches.
auto OpenWatches(Watches& watches,
                 coap_context_t* context,
                 const LoadOptions& options) -> void;

/// Reopens watches that broke or went silent.
/// @param watches The watches.
/// @param context Client context.
/// @param now The present.
auto CheckWatches(Watches& watches,
                  coap_context_t* context,
                  Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_WATCHES_H_
