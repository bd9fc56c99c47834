#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "in_force.h"
#include "refusals.h"

/// @file
/// What changed between two looks at the system.
namespace hawthornbank::hawthornctl {

/// One look at the system.
struct WatchSnapshot {
  std::chrono::steady_clock::time_point at;
  bool answered = false;                      ///< Whether a balancer answered.
  std::vector<std::string> unanswered;        ///< Why, for each silent process.
  std::string in_force;                       ///< "generation 3 on 2 of 3".
  std::string hosts_in_force;                 ///< The same with agents, or "".
  std::map<std::string, std::string> states;  ///< By "target fitquote-1".
  std::map<std::string, Refusals> refusals;   ///< By process.
  std::map<std::string, double> rates;        ///< Of refusals, per second.
};

/// A change.
struct WatchEvent {
  std::string kind;     ///< "in_force", "state", "refusals", "answers".
  std::string subject;  ///< "target fitquote-1", or empty.
  std::string before;   ///< Empty when it was not known.
  std::string after;    ///< Empty when it is gone.
  std::map<std::string, double> rates;  ///< Of refusals, per second.
};

/// Makes a snapshot.
/// @param pages What the processes answered.
/// @param at When.
/// @return The snapshot.
auto MakeSnapshot(const StatusPages& pages,
                  std::chrono::steady_clock::time_point at) -> WatchSnapshot;

/// Lists what changed. Where nothing answers, what was known stays.
/// @param before The snapshot before; a fresh one for the first look.
/// @param after The new one; takes over what was known if nothing answered.
/// @return The changes.
auto CompareSnapshots(const WatchSnapshot& before, WatchSnapshot& after)
    -> std::vector<WatchEvent>;

/// @param event A change.
/// @return A line for people.
auto ToText(const WatchEvent& event) -> std::string;

/// @param event A change.
/// @param time When, as text.
/// @return One JSON object, in one line.
auto ToJson(const WatchEvent& event, const std::string& time) -> std::string;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_WATCH_EVENTS_H_
