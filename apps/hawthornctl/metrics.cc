#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "arguments.h"
#include "hawthornbank/error.h"
#include "in_force.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

using nlohmann::json;

/// @param text Metrics as lines of the form "name value".
/// @return JSON object of the metric values, by metric name.
auto ConvertMetricsToJson(const std::string& text) -> json {
  json metrics = json::object();
  std::istringstream lines(text);
  std::string name;
  double value = 0;
  while (lines >> name >> value) {
    metrics[name] = value;
  }
  return metrics;
}

}  // namespace

auto RunMetricsCommand(const Words& words) -> int {
  TCLAP::CmdLine command("Prints the metrics of each balancer given.", ' ',
                         transport::GetVersion());
  CommonArguments common(command);
  ParseArguments(command, words);
  json all = json::array();
  int exit_code = 0;
  for (const auto& it : ReadBalancerAddresses(common)) {
    const std::string address = ToString(it);
    try {
      const std::string text = FetchHttpBody(it, "/metrics");
      if (common.json.getValue()) {
        all.push_back(json{{"balancer", address},
                           {"metrics", ConvertMetricsToJson(text)}});
      } else {
        std::cout << "# balancer " << address << '\n' << text;
      }
    } catch (const Error& error) {
      std::cerr << "hawthornctl: " << error.what() << '\n';
      exit_code = LookUpErrorAnswer(error.kind()).exit_code;
    }
  }
  if (common.json.getValue()) {
    std::cout << all.dump(2) << '\n';
  }
  return exit_code;
}

}  // namespace hawthornbank::hawthornctl
