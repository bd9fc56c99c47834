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
  bool failed = false;       ///< The watch was refused, reset or unanswered.
  std::string target;        ///< Target that sent the latest notification.
  std::uint64_t last_number = 0;  ///< Number of the latest notification.
  /// Time of the latest notification; before the first one, time at which the
  /// flow was opened.
  Clock::time_point last_activity;
};

/// Counters summed over all watches.
struct WatchCounters {
  std::uint64_t opened = 0;  ///< Flows that received a first notification.
  /// Established watches that failed or received nothing for 3 s.
  std::uint64_t broken = 0;
  /// Watches that failed before their first notification or never received one.
  std::uint64_t refused = 0;
  std::uint64_t notifications = 0;
  std::uint64_t gaps = 0;           ///< Number of missed notifications.
  std::uint64_t moved = 0;          ///< Notifications from a new target.
  std::uint64_t wrong_service = 0;  ///< Notifications of another service.
};

/// All watches of a run. The address of this object must not change while
/// watches are open, because the callbacks of their flows refer to this object.
struct Watches {
  std::vector<std::unique_ptr<Watch>> all;
  WatchCounters counters;
};

/// Parses a notification "service target number"; updates watch and counters.
/// @param watches Holds the counters to update.
/// @param watch Watch that received the notification.
/// @param payload Text of the notification.
/// @param now Current time.
auto RecordNotification(Watches& watches,
                        Watch& watch,
                        const std::string& payload,
                        Clock::time_point now) -> void;

/// Opens watches, spread evenly over the services that have a board or feed.
/// @param watches Receives the opened watches.
/// @param context libcoap client context.
/// @param options Services and number of watches.
auto OpenWatches(Watches& watches,
                 coap_context_t* context,
                 const LoadOptions& options) -> void;

/// Reopens watches that failed or received no notification for 3 s. A watch
/// that failed before its first notification is reopened 1 s after opening.
/// @param watches The watches, and the counters `broken` and `refused`.
/// @param context libcoap client context.
/// @param now Current time.
auto ReopenFailedOrSilentWatches(Watches& watches,
                                 coap_context_t* context,
                                 Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_WATCHES_H_
