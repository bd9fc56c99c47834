#include "arguments.h"
#include "change.h"
#include "in_force.h"
#include "known_names.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunTargetDrain(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Tells targets to take no new work; their flows go on until they end or "
      "reach the drain limit.",
      ' ', transport::Version());
  CommonArguments common(command);
  ChangeArguments change(command);
  UncheckedArgument unchecked(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the targets",
                                              true, "NAME", command);
  Parse(command, words);
  // The configuration names no targets, so only balancers know a typing error.
  CheckNames("target", names.getValue(), TargetNames, common, unchecked);
  return MakeChange(common, change, [&](const Configuration& before) {
    Configuration after = before;
    AddNames(after.draining, names.getValue());
    return after;
  });
}

}  // namespace hawthornbank::hawthornctl
