#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "arguments.h"
#include "change.h"
#include "hawthornbank/error.h"
#include "in_force.h"
#include "refusals.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

using nlohmann::json;

/// Summary of the status pages of the balancers and agents that were queried.
struct StatusOverview {
  StatusPages pages;
  ProcessStatus first_balancer;  ///< Page of the first balancer that answered.
  Generation newest_generation{};
  BalancerProgress balancers;
  /// Copied from the root balancer's page; `total` is 0 without such a page.
  HostsStatus hosts;
  RefusalCounts refusals;
};

auto CountProcessesInRole(const StatusPages& pages, const std::string& role)
    -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      pages.pages.begin(), pages.pages.end(),
      [&role](const ProcessStatus& it) { return it.role == role; }));
}

auto JoinLines(const std::vector<std::string>& lines) -> std::string {
  std::string text;
  for (const auto& it : lines) {
    text += (text.empty() ? "" : "\n") + it;
  }
  return text;
}

auto FetchStatusOverview(const CommonArguments& common,
                         const AgentArguments& agents) -> StatusOverview {
  auto processes = ReadBalancerAddresses(common);
  const auto agent_addresses = ReadAgentAddresses(agents);
  processes.insert(processes.end(), agent_addresses.begin(),
                   agent_addresses.end());
  StatusOverview overview{.pages = FetchStatusPages(processes)};
  const auto& pages = overview.pages.pages;
  const auto first = std::find_if(
      pages.begin(), pages.end(),
      [](const ProcessStatus& it) { return it.role == "balancer"; });
  if (first == pages.end()) {
    throw Error(ErrorKind::kFailed, "no balancer answers\n" +
                                        JoinLines(overview.pages.fetch_errors));
  }
  overview.first_balancer = *first;
  const Generation accepted = HasPlatformAddress(common)
                                  ? ReadAcceptedConfiguration(common).generation
                                  : Generation{};
  const auto* const root = FindRootBalancer(overview.pages);
  overview.newest_generation =
      std::max({accepted, FindNewestGeneration(*first),
                root != nullptr ? root->hosts.generation : Generation{}});
  overview.balancers =
      ComputeBalancerProgress(*first, overview.newest_generation);
  overview.hosts =
      ComputeRolloutProgress(overview.pages, overview.newest_generation).hosts;
  overview.refusals = SumRefusalsByReason(overview.pages);
  return overview;
}

auto PrintRolloutCountLine(Generation generation,
                           std::size_t done,
                           std::size_t total,
                           const char* hosts) -> void {
  std::cout << "generation " << ToInteger(generation) << " in force on " << done
            << " of " << total << ' ' << hosts << '\n';
}

auto PrintLaggingHosts(const std::vector<std::string>& lagging) -> void {
  for (const auto& it : lagging) {
    std::cout << "  lags: " << it << '\n';
  }
}

auto PrintRolloutCountOfAllHosts(const StatusOverview& overview) -> void {
  const auto& hosts = overview.hosts;
  if (hosts.total == 0) {
    const auto& root = overview.first_balancer.hosts.root;
    std::cout << "agents: not known here"
              << (root.empty() ? ""
                               : "; add the --balancer of " + root +
                                     ", which aggregates them")
              << '\n';
    return;
  }
  PrintRolloutCountLine(overview.newest_generation, hosts.in_force, hosts.total,
                        "balancers and agents");
  PrintLaggingHosts(hosts.lagging);
}

auto PrintRefusalCounts(const StatusOverview& overview) -> void {
  std::cout << "refusals and retries by reason, over "
            << CountProcessesInRole(overview.pages, "balancer")
            << " balancers and "
            << CountProcessesInRole(overview.pages, "agent")
            << " agents that answered:"
            << (overview.refusals.empty() ? " none" : "") << '\n';
  for (const auto& [name, count] : overview.refusals) {
    std::cout << "  " << name << ' ' << count << '\n';
  }
}

auto PrintOverviewAsText(const StatusOverview& overview) -> void {
  const auto& status = overview.first_balancer;
  const auto& in_force = overview.balancers;
  PrintRolloutCountLine(overview.newest_generation,
                        in_force.total - in_force.lagging.size(),
                        in_force.total, "balancers");
  PrintLaggingHosts(in_force.lagging);
  PrintRolloutCountOfAllHosts(overview);
  const auto serving = std::count_if(
      status.targets.begin(), status.targets.end(),
      [](const TargetStatus& it) { return it.state == "serving"; });
  std::cout << "targets: " << serving << " serving of " << status.targets.size()
            << '\n';
  PrintRefusalCounts(overview);
  for (const auto& it : overview.pages.fetch_errors) {
    std::cout << it << '\n';
  }
  std::cout << "counters of " << status.name << ":\n";
  for (const auto& [name, value] : status.counters) {
    if (value > 0) {
      std::cout << "  " << name << ' ' << value << '\n';
    }
  }
}

auto ConvertHostsToJson(const HostsStatus& hosts) -> json {
  if (hosts.total == 0) {
    return nullptr;
  }
  return json{{"in_force", hosts.in_force},
              {"total", hosts.total},
              {"lagging", hosts.lagging}};
}

auto PrintOverviewAsJson(const StatusOverview& overview) -> void {
  const auto& in_force = overview.balancers;
  std::cout
      << json{{"generation", ToInteger(overview.newest_generation)},
              {"in_force", in_force.total - in_force.lagging.size()},
              {"balancers", in_force.total},
              {"lagging", in_force.lagging},
              {"balancers_and_agents", ConvertHostsToJson(overview.hosts)},
              {"refusals", overview.refusals},
              {"answered",
               {{"balancers", CountProcessesInRole(overview.pages, "balancer")},
                {"agents", CountProcessesInRole(overview.pages, "agent")}}},
              {"unanswered", overview.pages.fetch_errors},
              {"counters", overview.first_balancer.counters}}
             .dump(2)
      << '\n';
}

}  // namespace

auto RunStatusCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Shows where the configuration is in force, which hosts lag, what was "
      "refused and why, and the counters of one balancer.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  AgentArguments agents(command);
  ParseArguments(command, words);
  const auto overview = FetchStatusOverview(common, agents);
  common.json.getValue() ? PrintOverviewAsJson(overview)
                         : PrintOverviewAsText(overview);
  return 0;
}

}  // namespace hawthornbank::hawthornctl
