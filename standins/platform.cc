#include <tclap/CmdLine.h>

#include <iostream>
#include <string>

#include "hawthornbank/error.h"
#include "hawthornbank/types.h"
#include "platform_standin.h"
#include "transport/command_line.h"

/// @file
/// Program that serves the stand-in for the platform's object API until the
/// process is terminated.
namespace hawthornbank::standins {
namespace {

auto RunPlatformStandin(int argc, char** argv) -> void {
  TCLAP::CmdLine line("Stand-in of the platform's object API");
  TCLAP::ValueArg<std::string> listen("", "listen", "HTTP endpoint", true, "",
                                      "127.0.0.1:PORT", line);
  transport::ParseCommandLine(
      line, transport::ConvertArgumentsToWords("standin_platform", argc, argv));
  const Endpoint address =
      transport::ReadEndpointOption(listen.getValue(), "listen");
  const auto text = ToString(address);
  const auto host = text.substr(0, text.find(':'));
  PlatformStandin standin;
  const int port = standin.BindServer(host, address.port);
  if (port < 0) {
    throw Error(ErrorKind::kInvalidSettings, "can't listen on " + text);
  }
  std::cout << "listening " << host << ':' << port << std::endl;
  standin.Run();
}

}  // namespace
}  // namespace hawthornbank::standins

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank;
  return transport::RunAndReportErrors("standin_platform", [argc, argv] {
    standins::RunPlatformStandin(argc, argv);
  });
}
