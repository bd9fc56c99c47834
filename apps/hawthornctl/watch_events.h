#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "in_force.h"
#include "refusals.h"

/// @file
/// Changes of the system's status between two snapshots.
namespace hawthornbank::hawthornctl {

/// Status of the system at one time.
struct WatchSnapshot {
  std::chrono::steady_clock::time_point at;
  bool balancer_answered = false;
  std::vector<std::string> fetch_errors;  ///< One for each process that failed.
  /// Balancers that have the generation in force, as "generation 3 on 2 of 3".
  std::string in_force;
  /// Balancers and agents that have the generation in force, in the same form;
  /// empty when the root did not answer.
  std::string hosts_in_force;
  /// States by subject, such as "target fitquote-1".
  std::map<std::string, std::string> states;
  /// Counts by process, such as "agent fitquote-1".
  std::map<std::string, RefusalCounts> refusals;
  std::map<std::string, double> rates;  ///< Refusals per second, by counter.
};

/// One change between two snapshots.
struct WatchEvent {
  std::string kind;     ///< "in_force", "state", "refusals" or "answers".
  std::string subject;  ///< Such as "target fitquote-1", or empty.
  std::string before;   ///< Empty when the subject is new.
  std::string after;    ///< Empty when the subject is gone.
  std::map<std::string, double> rates;  ///< Refusals per second, by counter.
};

/// Builds a snapshot from status pages.
/// @param pages Status pages of the processes that answered.
/// @param at Time of the snapshot.
/// @return The snapshot.
auto MakeWatchSnapshot(const StatusPages& pages,
                       std::chrono::steady_clock::time_point at)
    -> WatchSnapshot;

/// Lists the changes between two snapshots.
/// @param before The previous snapshot; default-constructed for the first call.
/// @param after The new snapshot. When no balancer or no root answered, the
///     corresponding values are copied from `before`.
/// @return The changes.
auto ListSnapshotChanges(const WatchSnapshot& before, WatchSnapshot& after)
    -> std::vector<WatchEvent>;

/// @param event Change to format.
/// @return One line of text for the operator.
auto FormatEventAsText(const WatchEvent& event) -> std::string;

/// @param event Change to format.
/// @param time Time of the change, as text.
/// @return One JSON object in one line.
auto FormatEventAsJson(const WatchEvent& event, const std::string& time)
    -> std::string;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_
