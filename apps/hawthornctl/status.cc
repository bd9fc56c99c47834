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

/// What the status says, as asked of all processes given.
struct Overview {
  StatusPages pages;
  ProcessStatus first;  ///< Of the first balancer that answered.
  Generation newest{};
  InForce balancers;
  HostsStatus hosts;  ///< Its total is 0 when the root did not answer.
  Refusals refusals;
};

auto CountRole(const StatusPages& pages, const std::string& role)
    -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      pages.pages.begin(), pages.pages.end(),
      [&role](const ProcessStatus& it) { return it.role == role; }));
}

auto Join(const std::vector<std::string>& lines) -> std::string {
  std::string text;
  for (const auto& it : lines) {
    text += (text.empty() ? "" : "\n") + it;
  }
  return text;
}

auto MakeOverview(const CommonArguments& common, const AgentArguments& agents)
    -> Overview {
  auto processes = BalancerAddresses(common);
  const auto more = AgentAddresses(agents);
  processes.insert(processes.end(), more.begin(), more.end());
  Overview overview{.pages = FetchPages(processes)};
  const auto& pages = overview.pages.pages;
  const auto first = std::find_if(
      pages.begin(), pages.end(),
      [](const ProcessStatus& it) { return it.role == "balancer"; });
  if (first == pages.end()) {
    throw Error(ErrorKind::kFailed,
                "no balancer answers\n" + Join(overview.pages.unanswered));
  }
  overview.first = *first;
  const Generation accepted =
      HasPlatform(common) ? ReadAccepted(common).generation : Generation{};
  const auto* const root = FindRoot(overview.pages);
  overview.newest =
      std::max({accepted, NewestGeneration(*first),
                root != nullptr ? root->hosts.generation : Generation{}});
  overview.balancers = CountInForce(*first, overview.newest);
  overview.hosts = ReadProgress(overview.pages, overview.newest).hosts;
  overview.refusals = SumRefusals(overview.pages);
  return overview;
}

auto PrintInForce(Generation generation,
                  std::size_t done,
                  std::size_t total,
                  const char* hosts) -> void {
  std::cout << "generation " << ToInteger(generation) << " in force on " << done
            << " of " << total << ' ' << hosts << '\n';
}

auto PrintLagging(const std::vector<std::string>& lagging) -> void {
  for (const auto& it : lagging) {
    std::cout << "  lags: " << it << '\n';
  }
}

auto PrintHosts(const Overview& overview) -> void {
  const auto& hosts = overview.hosts;
  if (hosts.total == 0) {
    const auto& root = overview.first.hosts.root;
    std::cout << "agents: not known here"
              << (root.empty() ? ""
                               : "; add the --balancer of " + root +
                                     ", which sums them up")
              << '\n';
    return;
  }
  PrintInForce(overview.newest, hosts.in_force, hosts.total,
               "balancers and agents");
  PrintLagging(hosts.lagging);
}

auto PrintRefusals(const Overview& overview) -> void {
  std::cout << "refusals and retries by reason, over "
            << CountRole(overview.pages, "balancer") << " balancers and "
            << CountRole(overview.pages, "agent") << " agents that answered:"
            << (overview.refusals.empty() ? " none" : "") << '\n';
  for (const auto& [name, count] : overview.refusals) {
    std::cout << "  " << name << ' ' << count << '\n';
  }
}

auto PrintText(const Overview& overview) -> void {
  const auto& status = overview.first;
  const auto& in_force = overview.balancers;
  PrintInForce(overview.newest, in_force.total - in_force.lagging.size(),
               in_force.total, "balancers");
  PrintLagging(in_force.lagging);
  PrintHosts(overview);
  const auto serving = std::count_if(
      status.targets.begin(), status.targets.end(),
      [](const TargetStatus& it) { return it.state == "serving"; });
  std::cout << "targets: " << serving << " serving of " << status.targets.size()
            << '\n';
  PrintRefusals(overview);
  for (const auto& it : overview.pages.unanswered) {
    std::cout << it << '\n';
  }
  std::cout << "counters of " << status.name << ":\n";
  for (const auto& [name, value] : status.counters) {
    if (value > 0) {
      std::cout << "  " << name << ' ' << value << '\n';
    }
  }
}

auto HostsToJson(const HostsStatus& hosts) -> json {
  if (hosts.total == 0) {
    return nullptr;
  }
  return json{{"in_force", hosts.in_force},
              {"total", hosts.total},
              {"lagging", hosts.lagging}};
}

auto PrintJson(const Overview& overview) -> void {
  const auto& in_force = overview.balancers;
  std::cout << json{{"generation", ToInteger(overview.newest)},
                    {"in_force", in_force.total - in_force.lagging.size()},
                    {"balancers", in_force.total},
                    {"lagging", in_force.lagging},
                    {"balancers_and_agents", HostsToJson(overview.hosts)},
                    {"refusals", overview.refusals},
                    {"answered",
                     {{"balancers", CountRole(overview.pages, "balancer")},
                      {"agents", CountRole(overview.pages, "agent")}}},
                    {"unanswered", overview.pages.unanswered},
                    {"counters", overview.first.counters}}
                   .dump(2)
            << '\n';
}

}  // namespace

auto RunStatus(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Says where the configuration is in force, who lags, what was refused "
      "and why, and what one balancer has counted.",
      ' ', transport::Version());
  CommonArguments common(command);
  AgentArguments agents(command);
  Parse(command, words);
  const auto overview = MakeOverview(common, agents);
  common.json.getValue() ? PrintJson(overview) : PrintText(overview);
  return 0;
}

}  // namespace hawthornbank::hawthornctl
