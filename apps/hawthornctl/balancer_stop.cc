#include "arguments.h"
#include "change.h"
#include "in_force.h"
#include "known_names.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunBalancerStopCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Shuts balancers down gracefully.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  UncheckedArgument unchecked(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the balancers",
                                              true, "NAME", command);
  ParseArguments(command, words);
  CheckNamesWithBalancers("balancer", names.getValue(), ListBalancerNames,
                          common, unchecked);
  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        Configuration after = before;
        MergeNamesIntoSortedList(after.stopping, names.getValue());
        return after;
      });
}

}  // namespace hawthornbank::hawthornctl
