#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_

#include <chrono>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "protocol/status_json.h"

/// @file
/// What balancers say about themselves and each other.
namespace hawthornbank::hawthornctl {

/// Asks one balancer over HTTP.
/// @param balancer Its listen.metrics endpoint.
/// @param path "/status" or "/metrics".
/// @return The body of the answer.
/// @throws Error kFailed when it does not answer.
auto FetchText(Endpoint balancer, const std::string& path) -> std::string;

/// Asks balancers for their status; the first that answers is enough, as each
/// knows the others.
/// @param balancers Their listen.metrics endpoints.
/// @return The status.
/// @throws Error kFailed when none answers.
auto FetchStatus(const std::vector<Endpoint>& balancers) -> ProcessStatus;

/// The pages of all processes that answer.
struct StatusPages {
  std::vector<ProcessStatus> pages;
  std::vector<std::string> unanswered;  ///< Why, one for each other process.
};

/// Asks processes for their status, each of them.
/// @param processes Their listen.metrics endpoints.
/// @return What came.
auto FetchPages(const std::vector<Endpoint>& processes) -> StatusPages;

/// Finds the balancer that sums up all hosts.
/// @param pages Status pages.
/// @return Its page, or null when it is not among them.
auto FindRoot(const StatusPages& pages) -> const ProcessStatus*;

/// @param status What one balancer knows.
/// @return The names of all targets.
auto TargetNames(const ProcessStatus& status) -> std::vector<std::string>;

/// @param status What one balancer knows.
/// @return The names of all balancers.
auto BalancerNames(const ProcessStatus& status) -> std::vector<std::string>;

/// Who has a generation in force.
struct InForce {
  std::size_t total = 0;
  std::vector<std::string> lagging;  ///< "entry-3 (generation 4)".
};

/// Who has a generation in force, of balancers and of all hosts.
struct Progress {
  InForce balancers;
  HostsStatus hosts;  ///< Its total is 0 when the root did not answer.
};

/// Reads off status pages how far a generation has come.
/// @param pages What balancers answered; at least one page.
/// @param generation The generation asked for.
/// @return The progress; no host counts while the root knows an older one.
auto ReadProgress(const StatusPages& pages, Generation generation) -> Progress;

/// @param progress How far a generation has come.
/// @return Whether it is in force on every balancer, and on every agent as far
///     as the root answered.
auto IsEverywhere(const Progress& progress) -> bool;

/// Counts the balancers that have a generation in force. Those that are dead
/// or have left don't count.
/// @param status What one balancer knows.
/// @param generation The generation asked for.
/// @return How many there are, and who lags.
auto CountInForce(const ProcessStatus& status, Generation generation)
    -> InForce;

/// @param status What one balancer knows.
/// @return The newest generation that is in force anywhere.
auto NewestGeneration(const ProcessStatus& status) -> Generation;

/// Waits until a generation is in force everywhere, with progress on standard
/// error. Agents are waited for when the root of the reports is asked too.
/// @param balancers Whom to ask.
/// @param generation What to wait for.
/// @param limit Longest wait.
/// @return The exit code: 0, or that of an expired deadline.
auto WaitUntilInForce(const std::vector<Endpoint>& balancers,
                      Generation generation,
                      std::chrono::seconds limit) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
