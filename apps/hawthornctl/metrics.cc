#include <iostream>

#include "arguments.h"
#include "in_force.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {

auto RunMetrics(Words words) -> int {
  TCLAP::CmdLine command("Prints the metrics of each balancer given.", ' ',
                         transport::Version());
  CommonArguments common(command);
  Parse(command, std::move(words));
  for (const auto& it : BalancerAddresses(common)) {
    std::cout << "# balancer " << ToString(it) << '\n'
              << FetchText(it, "/metrics");
  }
  return 0;
}

}  // namespace hawthornbank::hawthornctl
