#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_

#include <chrono>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "protocol/status_json.h"

/// @file
/// Status that balancers report about themselves and each other, and how many
/// of them have a generation of the configuration in force.
namespace hawthornbank::hawthornctl {

/// Sends an HTTP GET request to a balancer or an agent.
/// @param process The listen.metrics endpoint of the process.
/// @param path "/status" or "/metrics".
/// @return The body of the response.
/// @throws Error kFailed when the process does not answer with status 200.
auto FetchHttpBody(Endpoint process, const std::string& path) -> std::string;

/// Fetches the status of the first balancer that answers. One status is enough,
/// as each balancer knows the other balancers.
/// @param balancers The listen.metrics endpoints of the balancers.
/// @return The status.
/// @throws Error kFailed when no balancer answers.
auto FetchStatusOfAnyBalancer(const std::vector<Endpoint>& balancers)
    -> ProcessStatus;

/// The status pages of all processes that answered.
struct StatusPages {
  std::vector<ProcessStatus> pages;
  std::vector<std::string> fetch_errors;  ///< One for each process that failed.
};

/// Fetches the status page of each process.
/// @param processes The listen.metrics endpoints of the processes.
/// @return The status pages, and the errors of processes without an answer.
auto FetchStatusPages(const std::vector<Endpoint>& processes) -> StatusPages;

/// Finds the root balancer, which aggregates the reports of all hosts.
/// @param pages Status pages.
/// @return The root's page, or null when it is not among the pages.
auto FindRootBalancer(const StatusPages& pages) -> const ProcessStatus*;

/// @param status Status of one balancer.
/// @return The names of all targets that the balancer knows.
auto ListTargetNames(const ProcessStatus& status) -> std::vector<std::string>;

/// @param status Status of one balancer.
/// @return The names of the balancer itself and of all balancers that it knows.
auto ListBalancerNames(const ProcessStatus& status) -> std::vector<std::string>;

/// Number of balancers, and the names of those that lack a generation.
struct BalancerProgress {
  std::size_t total = 0;
  std::vector<std::string> lagging;  ///< As "entry-3 (generation 4)".
};

/// Numbers of balancers and hosts that have a generation in force.
struct RolloutProgress {
  BalancerProgress balancers;
  HostsStatus hosts;  ///< `total` is 0 when the root did not answer.
};

/// Counts in status pages the balancers and hosts with a generation in force.
/// @param pages Status pages of balancers; at least one.
/// @param generation The generation to look for.
/// @return The progress. While the root reports on an older generation, no host
///     counts as having `generation` in force.
auto ComputeRolloutProgress(const StatusPages& pages, Generation generation)
    -> RolloutProgress;

/// @param progress Progress of a generation.
/// @return Whether the generation is in force on every balancer, and on every
///     agent if the root answered.
auto IsGenerationInForceEverywhere(const RolloutProgress& progress) -> bool;

/// Counts the balancers that have a generation in force. Balancers that are
/// dead or have left are not counted.
/// @param status Status of one balancer.
/// @param generation The generation to look for.
/// @return The number of balancers, and the names of those with an older
///     generation.
auto CountBalancersAtGeneration(const ProcessStatus& status,
                                Generation generation) -> BalancerProgress;

/// @param status Status of one balancer.
/// @return The newest generation that any balancer has in force.
auto FindNewestGeneration(const ProcessStatus& status) -> Generation;

/// Waits until a generation is in force everywhere and prints the progress to
/// standard error. Agents are waited for only if the root balancer is among
/// the balancers queried.
/// @param balancers The listen.metrics endpoints of the balancers to query.
/// @param generation The generation to wait for.
/// @param limit Maximum wait.
/// @return The exit code: 0, or that of kDeadlineExpired.
auto WaitUntilGenerationInForce(const std::vector<Endpoint>& balancers,
                                Generation generation,
                                std::chrono::seconds limit) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_IN_FORCE_H_
