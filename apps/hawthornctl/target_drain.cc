#include "arguments.h"
#include "change.h"
#include "in_force.h"
#include "known_names.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunTargetDrainCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Drains targets: they take no new flows, and existing flows continue "
      "until they end or reach the drain limit.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  UncheckedArgument unchecked(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the targets",
                                              true, "NAME", command);
  ParseArguments(command, words);
  // The configuration doesn't list the targets, so only a balancer can tell
  // whether a name is misspelt.
  CheckNamesWithBalancers("target", names.getValue(), ListTargetNames, common,
                          unchecked);
  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        Configuration after = before;
        MergeNamesIntoSortedList(after.draining, names.getValue());
        return after;
      });
}

}  // namespace hawthornbank::hawthornctl
