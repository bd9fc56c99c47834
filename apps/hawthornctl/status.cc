#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "arguments.h"
#include "change.h"
#include "in_force.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

/// The newest generation: the accepted one, or else the newest in force.
auto NewestGeneration(const ProcessStatus& status, Generation accepted)
    -> Generation {
  Generation newest = std::max(accepted, status.generation);
  for (const auto& it : status.balancers) {
    newest = std::max(newest, it.generation);
  }
  return newest;
}

auto PrintText(const ProcessStatus& status,
               const InForce& in_force,
               Generation generation) -> void {
  const std::size_t done = in_force.total - in_force.lagging.size();
  std::cout << "generation " << ToInteger(generation) << " in force on " << done
            << " of " << in_force.total << " balancers\n";
  for (const auto& it : in_force.lagging) {
    std::cout << "  lags: " << it << '\n';
  }
  const auto serving = std::count_if(
      status.targets.begin(), status.targets.end(),
      [](const TargetStatus& it) { return it.state == "serving"; });
  std::cout << "targets: " << serving << " serving of " << status.targets.size()
            << '\n';
  std::cout << "counters of " << status.name << ":\n";
  for (const auto& [name, value] : status.counters) {
    if (value > 0) {
      std::cout << "  " << name << ' ' << value << '\n';
    }
  }
}

auto PrintJson(const ProcessStatus& status,
               const InForce& in_force,
               Generation generation) -> void {
  std::cout << nlohmann::json{{"generation", ToInteger(generation)},
                              {"in_force",
                               in_force.total - in_force.lagging.size()},
                              {"balancers", in_force.total},
                              {"lagging", in_force.lagging},
                              {"counters", status.counters}}
                   .dump(2)
            << '\n';
}

}  // namespace

auto RunStatus(Words words) -> int {
  TCLAP::CmdLine command(
      "Says where the configuration is in force, who lags, and what one "
      "balancer has counted.",
      ' ', transport::Version());
  CommonArguments common(command);
  Parse(command, std::move(words));
  const ProcessStatus status = FetchStatus(BalancerAddresses(common));
  const Generation accepted =
      HasPlatform(common) ? ReadAccepted(common).generation : Generation{};
  const Generation newest = NewestGeneration(status, accepted);
  const InForce in_force = CountInForce(status, newest);
  common.json.getValue() ? PrintJson(status, in_force, newest)
                         : PrintText(status, in_force, newest);
  return 0;
}

}  // namespace hawthornbank::hawthornctl
