#include "arguments.h"
#include "change.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunSheetDiffCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Shows what importing a sheet would change.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  ParseArguments(command, words);
  const Sheet sheet =
      ParseSheet(ReadFileContent(file.getValue()), file.getValue());
  const Configuration before = ReadAcceptedConfiguration(common);
  // Consents to every drop and shrink, so that the diff also shows changes that
  // an import would refuse without --allow-drop or --allow-shrink.
  SheetConsent all;
  for (const auto& it : before.services) {
    all.droppable_services.push_back(it.name);
    all.shrinkable_services.push_back(it.name);
  }
  PrintConfigurationDiff(before, ApplySheet(before, sheet, all),
                         common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
