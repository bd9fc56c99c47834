#include "arguments.h"
#include "change.h"
#include "names.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunSheetImportCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Replaces the configured services and demand by those of a sheet, either "
      "all or none. Each service that the sheet drops, moves to another "
      "address or transport, or halves in slots or connections must be named "
      "with --allow-drop or --allow-shrink.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::MultiArg<std::string> drop(
      "", "allow-drop",
      "A service that may be dropped or get a new address "
      "or transport",
      false, "SERVICE", command);
  TCLAP::MultiArg<std::string> shrink(
      "", "allow-shrink", "A service whose slots or connections may be halved",
      false, "SERVICE", command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  ParseArguments(command, words);
  const Sheet sheet =
      ParseSheet(ReadFileContent(file.getValue()), file.getValue());
  const SheetConsent consent{.droppable_services = drop.getValue(),
                             .shrinkable_services = shrink.getValue()};
  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        RequireKnownServices(before, consent.droppable_services);
        RequireKnownServices(before, consent.shrinkable_services);
        return ApplySheet(before, sheet, consent);
      });
}

}  // namespace hawthornbank::hawthornctl
