#include "arguments.h"
#include "change.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunSheetDiff(const Words& words) -> int {
  TCLAP::CmdLine command("Shows what importing a sheet would change.", ' ',
                         transport::Version());
  CommonArguments common(command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  Parse(command, words);
  const Sheet sheet = ParseSheet(ReadFile(file.getValue()), file.getValue());
  const Configuration before = ReadAccepted(common);
  // Shown even where an import would ask for consent.
  SheetConsent all;
  for (const auto& it : before.services) {
    all.drop.push_back(it.name);
    all.shrink.push_back(it.name);
  }
  PrintDiff(before, ApplySheet(before, sheet, all), common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
