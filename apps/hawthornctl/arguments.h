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
  /// @param command Command line that the arguments are added to.
  explicit CommonArguments(TCLAP::CmdLine& command);

  TCLAP::ValueArg<std::string> platform;
  TCLAP::ValueArg<std::string> region;
  TCLAP::MultiArg<std::string> balancers;
  TCLAP::SwitchArg json;
};

/// Argument of every command that also queries agents.
struct AgentArguments {
  /// @param command Command line that the argument is added to.
  explicit AgentArguments(TCLAP::CmdLine& command);

  TCLAP::MultiArg<std::string> agents;
};

/// Arguments of every command that changes the configuration.
struct ChangeArguments {
  /// @param command Command line that the arguments are added to.
  explicit ChangeArguments(TCLAP::CmdLine& command);

  TCLAP::SwitchArg dry_run;
  TCLAP::SwitchArg wait;
  TCLAP::ValueArg<unsigned> wait_limit;
  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::string> operation;
};

/// Parses the words of a command line into its arguments.
/// @param command The command line and its arguments.
/// @param words The words; the first names the command.
/// @throws Error kInvalidSettings naming the wrong argument and the valid one
///         that is most similar to it.
auto ParseArguments(TCLAP::CmdLine& command, const Words& words) -> void;

/// @param arguments Parsed arguments.
/// @return Name of the region.
/// @throws Error kInvalidSettings when the name is not valid.
auto ReadRegion(const CommonArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Author of the change.
/// @throws Error kInvalidSettings unless the author is one line of UTF-8 text
///         of 1 to 100 bytes.
auto ReadAuthor(const ChangeArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Whether the option or HAWTHORNCTL_PLATFORM gives an address.
auto HasPlatformAddress(const CommonArguments& arguments) -> bool;

/// @param arguments Parsed arguments.
/// @return Address of the platform, from the option or HAWTHORNCTL_PLATFORM.
/// @throws Error kInvalidSettings when the address is missing or malformed.
auto ReadPlatformAddress(const CommonArguments& arguments) -> Endpoint;

/// @param arguments Parsed arguments.
/// @return Addresses of balancers, from the options or HAWTHORNCTL_BALANCERS.
/// @throws Error kInvalidSettings when no address is given or one is malformed.
auto ReadBalancerAddresses(const CommonArguments& arguments)
    -> std::vector<Endpoint>;

/// @param arguments Parsed arguments.
/// @return Addresses of agents, from the options or HAWTHORNCTL_AGENTS.
/// @throws Error kInvalidSettings when an address is malformed.
auto ReadAgentAddresses(const AgentArguments& arguments)
    -> std::vector<Endpoint>;

/// Reads a whole file.
/// @param path Path of the file.
/// @return The bytes of the file.
/// @throws Error kInvalidSettings when the file can't be read.
auto ReadFileContent(const std::string& path) -> std::string;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_
