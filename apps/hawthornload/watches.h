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
/// Callers that observe a board or feed (RFC 7641) and count missed
/// notifications.
namespace hawthornbank::load {

using Clock = std::chrono::steady_clock;

/// One observation of a board or feed.
struct Watch {
  const ServiceUnderLoad* service = nullptr;
  std::unique_ptr<Flow> flow;
  bool established = false;  ///< The first notification has arrived.
  bool failed = false;       ///< The flow was reset, refused or unanswered.
  std::string target;        ///< Name of the target that answers.
  std::uint64_t last_number = 0;  ///< Number of the latest notification.
  /// Time of the latest notification or opening.
  Clock::time_point last_activity;
};

/// Counters over all watches.
struct WatchCounters {
  std::uint64_t opened = 0;   ///< Flows that received a first notification.
  std::uint64_t broken = 0;   ///< Established flows that ended.
  std::uint64_t refused = 0;  ///< Watches refused or unanswered when opened.
  std::uint64_t notifications = 0;
  std::uint64_t gaps = 0;   ///< Number of missed notifications.
  std::uint64_t moved = 0;  ///< Notifications from another target than before.
  std::uint64_t wrong_service = 0;  ///< Notifications of another service.
};

/// All watches of a run. The address of this object must not change while
/// watches are open, as their callbacks refer to it.
struct Watches {
  std::vector<std::unique_ptr<Watch>> all;
  WatchCounters counters;
};

/// Parses one notification "service target number" and updates the counters.
/// @param watches The counters are updated in it.
/// @param watch Watch that received the notification.
/// @param payload Text of the notification.
/// @param now Current time.
auto RecordNotification(Watches& watches,
                        Watch& watch,
                        const std::string& payload,
                        Clock::time_point now) -> void;

/// Opens watches, spread evenly over the services that have a board or feed.
/// @param watches The watches are added to it.
/// @param context Client context.
/// @param options Services and number of watches.
auto OpenWatches(Watches& watches,
                 coap_context_t* context,
                 const LoadOptions& options) -> void;

/// Reopens watches whose flow failed or that stopped receiving notifications.
/// @param watches The watches.
/// @param context Client context.
/// @param now Current time.
auto ReopenFailedOrSilentWatches(Watches& watches,
                                 coap_context_t* context,
                                 Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_WATCHES_H_
