#include "arguments.h"
#include "change.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunBalancerResumeCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Allows stopped balancers to serve again once they are restarted.", ' ',
      transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the balancers",
                                              true, "NAME", command);
  ParseArguments(command, words);

  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        RequireKnownNames("stopped balancer", names.getValue(),
                          before.stopping);
        Configuration after = before;
        RemoveNamesFromList(after.stopping, names.getValue());
        return after;
      });
}

}  // namespace hawthornbank::hawthornctl
