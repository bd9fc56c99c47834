#include "arguments.h"
#include "in_force.h"
#include "table.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunBalancerListCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Lists all balancers, as one balancer knows them.",
                         ' ', transport::GetVersion());
  CommonArguments common(command);
  ParseArguments(command, words);
  const ProcessStatus status =
      FetchStatusOfAnyBalancer(ReadBalancerAddresses(common));
  Table table = {{"balancer", "zone", "state", "generation"}};
  for (const auto& it : status.balancers) {
    table.push_back(
        {it.name, it.zone, it.state, std::to_string(ToInteger(it.generation))});
  }
  PrintTable(table, common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
