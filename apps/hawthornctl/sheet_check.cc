#include <iostream>

#include "arguments.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunSheetCheck(Words words) -> int {
  TCLAP::CmdLine command("Checks a sheet and names all its faults.", ' ',
                         transport::Version());
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  Parse(command, std::move(words));
  const Sheet sheet = ParseSheet(ReadFile(file.getValue()), file.getValue());
  std::cout << file.getValue() << ": ok, " << sheet.services.size()
            << " services, " << sheet.demand.size() << " demand entries\n";
  return 0;
}

}  // namespace hawthornbank::hawthornctl
