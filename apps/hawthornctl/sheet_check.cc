#include <iostream>
#include <nlohmann/json.hpp>

#include "arguments.h"
#include "hawthornbank/error.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

using nlohmann::json;

auto PrintFaultsAsJson(const CheckedSheet& checked, const std::string& file)
    -> void {
  json faults = json::array();
  for (const auto& it : checked.faults) {
    faults.push_back(json{{"row", it.row},
                          {"column", it.column},
                          {"key", it.header},
                          {"why", it.reason}});
  }
  // dump() replaces bytes that are not UTF-8, which the header may contain.
  std::cout << json{{"file", file},
                    {"ok", checked.faults.empty()},
                    {"services", checked.sheet.services.size()},
                    {"demand_entries", checked.sheet.demand.size()},
                    {"faults", faults}}
                   .dump(2, ' ', false, json::error_handler_t::replace)
            << '\n';
}

}  // namespace

auto RunSheetCheckCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Checks a sheet and lists all its faults.", ' ',
                         transport::GetVersion());
  TCLAP::SwitchArg as_json("", "json", "Print the result as JSON", command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "The sheet (CSV)", true,
                                             "", "FILE", command);
  ParseArguments(command, words);
  const std::string text = ReadFileContent(file.getValue());
  if (as_json.getValue()) {
    const auto checked = CheckSheet(text);
    PrintFaultsAsJson(checked, file.getValue());
    return checked.faults.empty()
               ? 0
               : LookUpErrorAnswer(ErrorKind::kInvalidSettings).exit_code;
  }
  const Sheet sheet = ParseSheet(text, file.getValue());
  std::cout << file.getValue() << ": ok, " << sheet.services.size()
            << " services, " << sheet.demand.size() << " demand entries\n";
  return 0;
}

}  // namespace hawthornbank::hawthornctl
