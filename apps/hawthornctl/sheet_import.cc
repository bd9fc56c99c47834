#include "arguments.h"
#include "change.h"
#include "names.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunSheetImport(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Makes a sheet's services and demand the configuration, whole or not at "
      "all. A service that the sheet drops, moves or halves must be named.",
      ' ', transport::Version());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::MultiArg<std::string> drop("", "allow-drop",
                                    "A service that may be dropped or moved",
                                    false, "SERVICE", command);
  TCLAP::MultiArg<std::string> shrink("", "allow-shrink",
                                      "A service that may be halved", false,
                                      "SERVICE", command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  Parse(command, words);
  const Sheet sheet = ParseSheet(ReadFile(file.getValue()), file.getValue());
  const SheetConsent consent{.drop = drop.getValue(),
                             .shrink = shrink.getValue()};
  return MakeChange(common, change, [&](const Configuration& before) {
    RequireServices(before, consent.drop);
    RequireServices(before, consent.shrink);
    return ApplySheet(before, sheet, consent);
  });
}

}  // namespace hawthornbank::hawthornctl
