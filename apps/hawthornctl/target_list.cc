#include "arguments.h"
#include "in_force.h"
#include "table.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunTargetListCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Lists all targets, as one balancer knows them.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  ParseArguments(command, words);
  const ProcessStatus status =
      FetchStatusOfAnyBalancer(ReadBalancerAddresses(common));
  Table table = {
      {"target", "service", "zone", "state", "connections", "slots_busy"}};
  for (const auto& it : status.targets) {
    table.push_back({it.name, it.service, it.zone, it.state,
                     std::to_string(it.connections),
                     std::to_string(it.slots_busy)});
  }
  PrintTable(table, common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
