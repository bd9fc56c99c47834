#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_

#include <chrono>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "protocol/status_json.h"

/// @file
/// Fetches the status of balancers and agents, and counts the hosts that have a
/// generation of the configuration in force.
namespace hawthornbank::hawthornctl {

/// Sends an HTTP GET request to a balancer or an agent.
/// @param process The listen.metrics endpoint of the process.
/// @param path "/status" or "/metrics".
/// @return The body of the response.
/// @throws Error kFailed when the process does not answer with HTTP status 200.
auto FetchHttpBody(Endpoint process, const std::string& path) -> std::string;

/// Fetches the status of the first balancer that answers. One status is enough,
/// because each balancer's status also lists the other balancers.
/// @param balancers The listen.metrics endpoints of the balancers.
/// @return The status.
/// @throws Error kFailed when no balancer answers with a valid status.
auto FetchStatusOfAnyBalancer(const std::vector<Endpoint>& balancers)
    -> ProcessStatus;

/// The status pages of all processes that answered.
struct StatusPages {
  std::vector<ProcessStatus> pages;
  std::vector<std::string> fetch_errors;  ///< One message per failed fetch.
};

/// Fetches the status page of each process.
/// @param processes The listen.metrics endpoints of the processes.
/// @return The status pages, and one error message for each process that did
///     not answer with a valid page.
auto FetchStatusPages(const std::vector<Endpoint>& processes) -> StatusPages;

/// Finds the root balancer, which aggregates the reports of all hosts.
/// @param pages Status pages.
/// @return The root balancer's page; null when it is not among the pages or
///     the root balancer has not counted any host yet.
auto FindRootBalancer(const StatusPages& pages) -> const ProcessStatus*;

/// @param status Status of one balancer.
/// @return The names of all targets that the balancer knows.
auto ListTargetNames(const ProcessStatus& status) -> std::vector<std::string>;

/// @param status Status of one balancer.
/// @return The names of the balancer itself and of all balancers that it knows.
auto ListBalancerNames(const ProcessStatus& status) -> std::vector<std::string>;

/// Number of balancers, and those where a given generation isn't in force yet.
struct BalancerProgress {
  std::size_t total = 0;
  std::vector<std::string> lagging;  ///< Such as "entry-3 (generation 4)".
};

/// Counts of the balancers and of all hosts that have a generation in force.
struct RolloutProgress {
  BalancerProgress balancers;
  /// Copied from the root balancer's page; `total` is 0 without such a page.
  HostsStatus hosts;
};

/// Counts the balancers listed in the first page, and copies the counts of all
/// hosts from the root balancer's page.
/// @param pages Status pages; the first one must be a balancer's.
/// @param generation The generation to look for.
/// @return The progress. While the root balancer's counts are for an older
///     generation, no host counts as having `generation` in force.
auto ComputeRolloutProgress(const StatusPages& pages, Generation generation)
    -> RolloutProgress;

/// @param progress Progress of a generation.
/// @return Whether the generation is in force on every balancer and, if the
///     root balancer's counts are known, on every agent.
auto IsGenerationInForceEverywhere(const RolloutProgress& progress) -> bool;

/// Counts the balancers and lists those with an older generation in force.
/// Other balancers that are dead or have left are not counted.
/// @param status Status of one balancer. This balancer is counted even if the
///     status lists it as dead or left, or doesn't list it.
/// @param generation The generation to look for.
/// @return The number of balancers, and the names of those with an older
///     generation.
auto ComputeBalancerProgress(const ProcessStatus& status, Generation generation)
    -> BalancerProgress;

/// @param status Status of one balancer.
/// @return The newest generation in force on any balancer in `status`.
auto FindNewestGeneration(const ProcessStatus& status) -> Generation;

/// Waits until a generation is in force on all balancers and agents, or until
/// the limit, and prints the progress to standard error. Agents are waited for
/// only if the root balancer is among the balancers queried.
/// @param balancers The listen.metrics endpoints of the balancers to query.
/// @param generation The generation to wait for.
/// @param limit Maximum wait.
/// @return The exit code: 0, or at the limit that of kDeadlineExpired.
auto WaitUntilGenerationInForce(const std::vector<Endpoint>& balancers,
                                Generation generation,
                                std::chrono::seconds limit) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
