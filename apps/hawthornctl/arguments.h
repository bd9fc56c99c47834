#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "commands.h"
#include "hawthornbank/types.h"

/// @file
/// Arguments that several commands share.
namespace hawthornbank::hawthornctl {

/// Arguments of every command that talks to the platform or to balancers.
struct CommonArguments {
  /// @param command The command line that takes the arguments.
  explicit CommonArguments(TCLAP::CmdLine& command);

  TCLAP::ValueArg<std::string> platform;
  TCLAP::ValueArg<std::string> region;
  TCLAP::MultiArg<std::string> balancers;
  TCLAP::SwitchArg json;
};

/// Argument of every command that asks agents too.
struct AgentArguments {
  /// @param command The command line that takes the argument.
  explicit AgentArguments(TCLAP::CmdLine& command);

  TCLAP::MultiArg<std::string> agents;
};

/// Arguments of every command that changes the configuration.
struct ChangeArguments {
  /// @param command The command line that takes the arguments.
  explicit ChangeArguments(TCLAP::CmdLine& command);

  TCLAP::SwitchArg dry_run;
  TCLAP::SwitchArg wait;
  TCLAP::ValueArg<unsigned> wait_limit;
  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::string> operation;
};

/// Parses a command line.
/// @param command The command line and its arguments.
/// @param words The words, the first of which names the command.
/// @throws Error kInvalidSettings naming the argument and the near match.
auto Parse(TCLAP::CmdLine& command, const Words& words) -> void;

/// @param arguments Parsed arguments.
/// @return The region.
/// @throws Error kInvalidSettings when it is no name.
auto Region(const CommonArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Who makes the change.
/// @throws Error kInvalidSettings when it is not a line of text.
auto Author(const ChangeArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Whether the platform's address is given.
auto HasPlatform(const CommonArguments& arguments) -> bool;

/// @param arguments Parsed arguments.
/// @return Address of the platform, from the option or HAWTHORNCTL_PLATFORM.
/// @throws Error kInvalidSettings when it is missing or wrong.
auto PlatformAddress(const CommonArguments& arguments) -> Endpoint;

/// @param arguments Parsed arguments.
/// @return Addresses of balancers, from the options or HAWTHORNCTL_BALANCERS.
/// @throws Error kInvalidSettings when none is given or one is wrong.
auto BalancerAddresses(const CommonArguments& arguments)
    -> std::vector<Endpoint>;

/// @param arguments Parsed arguments.
/// @return Addresses of agents, from the options or HAWTHORNCTL_AGENTS.
/// @throws Error kInvalidSettings when one is wrong.
auto AgentAddresses(const AgentArguments& arguments) -> std::vector<Endpoint>;

/// Reads a file.
/// @param path The file.
/// @return Its bytes.
/// @throws Error kInvalidSettings when it can't be read.
auto ReadFile(const std::string& path) -> std::string;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_
