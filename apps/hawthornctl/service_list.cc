#include "arguments.h"
#include "change.h"
#include "protocol/configuration_diff.h"
#include "table.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunServiceListCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Lists the services of the configuration.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  ParseArguments(command, words);
  Table table = {{"service"}};
  for (const auto& field : ListServiceFields(Service{})) {
    table[0].push_back(field.name);
  }
  for (const auto& it : ReadAcceptedConfiguration(common).services) {
    table.push_back({it.name});
    for (const auto& field : ListServiceFields(it)) {
      table.back().push_back(field.value);
    }
  }
  PrintTable(table, common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
