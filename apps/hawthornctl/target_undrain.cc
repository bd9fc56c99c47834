#include "arguments.h"
#include "change.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunTargetUndrainCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Allows draining targets to take new flows again.",
                         ' ', transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the targets",
                                              true, "NAME", command);
  ParseArguments(command, words);

  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        RequireKnownNames("draining target", names.getValue(), before.draining);
        Configuration after = before;
        RemoveNamesFromList(after.draining, names.getValue());
        return after;
      });
}

}  // namespace hawthornbank::hawthornctl
