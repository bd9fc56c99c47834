#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

#include "hawthornbank/error.h"
#include "transport/command_line.h"
#include "transport/daemon.h"
#include "transport/logging.h"
#include "transport/settings.h"
#include "transport/version.h"

namespace {

using hawthornbank::Error;
using hawthornbank::ErrorKind;
using hawthornbank::LookUpErrorAnswer;
using hawthornbank::transport::Role;

constexpr auto kDescription =
    "hawthornd forwards callers' packets to targets. Run one balancer on each "
    "entry host and one agent beside each target.\n\n"
    "Example:  hawthornd --role balancer --config balancer.ini\n\n"
    "SIGTERM stops gracefully, a second one at once. Exit codes: 0 stopped, "
    "2 invalid settings or command line, 7 superseded by a newer agent of the "
    "same target, 9 stopped at once, 70 internal error.";

/// Parses the command line. Error messages start with the program's name, just
/// like errors in the settings start with the name of the settings file.
auto ParseDaemonArguments(TCLAP::CmdLine& command, int argc, char** argv)
    -> void {
  try {
    hawthornbank::transport::ParseCommandLine(
        command, hawthornbank::transport::ConvertArgumentsToWords("hawthornd",
                                                                  argc, argv));
  } catch (const Error& error) {
    throw Error(error.kind(), std::string("hawthornd: ") + error.what());
  }
}

auto RunDaemon(int argc, char** argv) -> int {
  TCLAP::CmdLine command(kDescription, ' ',
                         hawthornbank::transport::GetVersion());
  std::vector<std::string> roles = {"balancer", "agent"};
  TCLAP::ValuesConstraint<std::string> role_names(roles);
  TCLAP::ValueArg<std::string> role("", "role", "Role of this process", true,
                                    "", &role_names, command);
  TCLAP::ValueArg<std::string> config("", "config", "Settings file (INI)", true,
                                      "", "FILE", command);
  TCLAP::SwitchArg check("", "check", "Check the settings and exit", command);
  ParseDaemonArguments(command, argc, argv);

  const Role wanted =
      role.getValue() == "balancer" ? Role::kBalancer : Role::kAgent;
  const auto settings =
      hawthornbank::transport::ReadSettingsFile(config.getValue(), wanted);
  if (check.getValue()) {
    std::cout << config.getValue() << ": ok\n";
    return 0;
  }
  hawthornbank::transport::InitialiseLogging(settings.log_level,
                                             settings.log_layout);
  try {
    return wanted == Role::kBalancer
               ? hawthornbank::transport::RunBalancer(settings)
               : hawthornbank::transport::RunAgent(settings);
  } catch (const Error& error) {
    throw Error(error.kind(), config.getValue() + ": " + error.what());
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return RunDaemon(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const Error& error) {
    std::cerr << error.what() << '\n';
    return LookUpErrorAnswer(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::cerr << "hawthornd: " << error.what() << '\n';
    return LookUpErrorAnswer(ErrorKind::kInternal).exit_code;
  }
}
