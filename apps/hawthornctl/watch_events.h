#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "in_force.h"
#include "refusals.h"

/// @file
/// Changes in the status of balancers, agents and targets between snapshots.
namespace hawthornbank::hawthornctl {

/// Status of balancers, agents and targets at one time.
struct WatchSnapshot {
  std::chrono::steady_clock::time_point at;
  bool balancer_answered = false;
  std::vector<std::string> fetch_errors;  ///< One message per failed fetch.
  /// Number of balancers that have the newest generation in force, such as
  /// "generation 3 on 2 of 3".
  std::string in_force;
  /// Number of balancers and agents that have the root balancer's generation in
  /// force, in the form of `in_force`; empty when the root did not answer.
  std::string hosts_in_force;
  /// States of targets and balancers, by name such as "target fitquote-1".
  std::map<std::string, std::string> states;
  /// Refusal counters, by process such as "agent fitquote-1".
  std::map<std::string, RefusalCounts> refusals;
  /// Refusals per second since the previous snapshot, by counter.
  std::map<std::string, double> rates;
};

/// One change between two snapshots.
struct WatchEvent {
  std::string kind;     ///< "in_force", "state", "refusals" or "answers".
  std::string subject;  ///< Such as "target fitquote-1", or empty.
  std::string before;   ///< Old value; empty when the subject is new.
  std::string after;    ///< New value; empty when the subject is gone.
  std::map<std::string, double> rates;  ///< Refusals per second, by counter.
};

/// Builds a snapshot from status pages.
/// @param pages Status pages of the processes that answered.
/// @param at Time of the snapshot.
/// @return The snapshot, still without `rates`.
auto MakeWatchSnapshot(const StatusPages& pages,
                       std::chrono::steady_clock::time_point at)
    -> WatchSnapshot;

/// Completes the new snapshot and lists the changes since the previous one.
/// @param before The previous snapshot; default-constructed for the first call.
/// @param after The new snapshot; `rates` is set. When no balancer or no root
///     balancer answered, the missing values are copied from `before`.
/// @return The changes.
auto CompleteSnapshotAndListChanges(const WatchSnapshot& before,
                                    WatchSnapshot& after)
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
