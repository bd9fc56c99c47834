#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <string_view>

#include "commands.h"
#include "hawthornbank/error.h"
#include "protocol/near_match.h"
#include "transport/version.h"

namespace {

using hawthornbank::Error;
using hawthornbank::ErrorKind;
using hawthornbank::FormatSuggestion;
using hawthornbank::LookUpErrorAnswer;
using hawthornbank::hawthornctl::Words;

/// A command: its name of one or two words, its summary and its function.
struct Command {
  std::string_view name;
  std::string_view summary;
  auto(*run)(const Words& words) -> int;
};

namespace ctl = hawthornbank::hawthornctl;

constexpr auto kCommands = std::to_array<Command>({
    {"sheet check", "check a sheet and list all its faults",
     ctl::RunSheetCheckCommand},
    {"sheet diff", "show what a sheet would change", ctl::RunSheetDiffCommand},
    {"sheet import", "replace services and demand by a sheet",
     ctl::RunSheetImportCommand},
    {"service list", "list the services", ctl::RunServiceListCommand},
    {"service show", "show one service", ctl::RunServiceShowCommand},
    {"service set", "change fields of a service", ctl::RunServiceSetCommand},
    {"target list", "list the targets", ctl::RunTargetListCommand},
    {"target drain", "stop sending new flows to targets",
     ctl::RunTargetDrainCommand},
    {"target undrain", "send new flows to draining targets again",
     ctl::RunTargetUndrainCommand},
    {"balancer list", "list the balancers", ctl::RunBalancerListCommand},
    {"balancer stop", "shut balancers down gracefully",
     ctl::RunBalancerStopCommand},
    {"balancer resume", "allow stopped balancers to serve again",
     ctl::RunBalancerResumeCommand},
    {"plan show", "show a day's demand and planned targets",
     ctl::RunPlanShowCommand},
    {"status", "show what is in force and which hosts lag",
     ctl::RunStatusCommand},
    {"watch", "print each change until interrupted", ctl::RunWatchCommand},
    {"metrics", "print the metrics of balancers", ctl::RunMetricsCommand},
    {"explain", "show from logs why a flow went where it did",
     ctl::RunExplainCommand},
});

auto PrintCommandHelp(std::ostream& out) -> void {
  constexpr int kNameWidth = 18;
  out << "hawthornctl shows and changes the state of hawthornbank.\n\n"
         "Usage: hawthornctl COMMAND [OPTIONS]; hawthornctl COMMAND --help\n\n";
  for (const auto& it : kCommands) {
    out << "  " << std::left << std::setw(kNameWidth) << it.name << it.summary
        << '\n';
  }
  out << "\nExample:\n  hawthornctl sheet import --platform 127.0.0.1:7400 "
         "examples/trentmoor.csv\n\n"
         "Exit codes: 0 success, 2 invalid input, 3 unknown name, 4 not in "
         "force in time,\n5 no balancer answers, 6 outcome unknown, 7 another "
         "change was accepted first,\n8 the platform does not answer, "
         "70 internal error.\n";
}

/// Finds the command named by the first word or the first two words.
/// @throws Error kInvalidSettings for an unknown command; names a similar one.
auto FindCommandByWords(const Words& words) -> const Command& {
  std::vector<std::string> names;
  names.reserve(kCommands.size());
  for (const auto& it : kCommands) {
    names.emplace_back(it.name);
  }
  std::string wanted = words[0];
  for (std::size_t n = 0; n < 2; ++n) {
    const auto it = std::find(names.begin(), names.end(), wanted);
    if (it != names.end()) {
      return kCommands[static_cast<std::size_t>(it - names.begin())];
    }
    if (n == 0 && words.size() > 1) {
      wanted += " " + words[1];
    }
  }
  throw Error(ErrorKind::kInvalidSettings, "unknown command '" + wanted + "'" +
                                               FormatSuggestion(wanted, names) +
                                               "\nTry: hawthornctl --help");
}

auto RunCommandLine(Words words) -> int {
  if (words.empty()) {
    PrintCommandHelp(std::cerr);
    return LookUpErrorAnswer(ErrorKind::kInvalidSettings).exit_code;
  }
  if (words[0] == "--help" || words[0] == "-h" || words[0] == "help") {
    PrintCommandHelp(std::cout);
    return 0;
  }
  if (words[0] == "--version") {
    std::cout << "hawthornctl " << hawthornbank::transport::GetVersion()
              << '\n';
    return 0;
  }
  const Command& command = FindCommandByWords(words);
  const auto used =
      1 + std::count(command.name.begin(), command.name.end(), ' ');
  words.erase(words.begin(), words.begin() + used);
  words.insert(words.begin(), "hawthornctl " + std::string(command.name));
  return command.run(words);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return RunCommandLine(Words(argv + 1, argv + argc));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const Error& error) {
    std::cerr << "hawthornctl: " << error.what() << '\n';
    return LookUpErrorAnswer(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::cerr << "hawthornctl: internal error: " << error.what() << '\n';
    return LookUpErrorAnswer(ErrorKind::kInternal).exit_code;
  }
}
