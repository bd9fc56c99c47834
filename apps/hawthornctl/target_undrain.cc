#include "arguments.h"
#include "change.h"
#include "names.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunTargetUndrain(const Words& words) -> int {
  TCLAP::CmdLine command("Lets draining targets take new work again.", ' ',
                         transport::Version());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Names of the targets",
                                              true, "NAME", command);
  Parse(command, words);

  return MakeChange(common, change, [&](const Configuration& before) {
    RequireNames("draining target", names.getValue(), before.draining);
    Configuration after = before;
    RemoveNames(after.draining, names.getValue());
    return after;
  });
}

}  // namespace hawthornbank::hawthornctl
