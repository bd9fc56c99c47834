#include "arguments.h"
#include "change.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunBalancerResume(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Lets stopped balancers serve again when they are started.", ' ',
      transport::Version());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the balancers",
                                              true, "NAME", command);
  Parse(command, words);

  return MakeChange(common, change, [&](const Configuration& before) {
    RequireNames("stopped balancer", names.getValue(), before.stopping);
    Configuration after = before;
    RemoveNames(after.stopping, names.getValue());
    return after;
  });
}

}  // namespace hawthornbank::hawthornctl
