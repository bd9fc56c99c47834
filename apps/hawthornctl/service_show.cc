#include "arguments.h"
#include "change.h"
#include "names.h"
#include "protocol/configuration_diff.h"
#include "table.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunServiceShowCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Shows one service and its demand.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  TCLAP::UnlabeledValueArg<std::string> name("service", "Name of the service",
                                             true, "", "SERVICE", command);
  ParseArguments(command, words);
  const Configuration configuration = ReadAcceptedConfiguration(common);
  const Service& service = FindRequiredService(configuration, name.getValue());
  Table table = {{"field", "value"}, {"service", service.name}};
  table.push_back({"id", std::to_string(ToInteger(service.id))});
  for (const auto& it : ListServiceFields(service)) {
    table.push_back({it.name, it.value});
  }
  for (const auto& it : configuration.demand) {
    if (it.service == service.id) {
      table.push_back({"demand " + it.day + " " + FormatTimeOfDay(it.start),
                       FormatRequestRate(it.requests_per_second)});
    }
  }
  PrintTable(table, common.json.getValue());
  return 0;
}

}  // namespace hawthornbank::hawthornctl
