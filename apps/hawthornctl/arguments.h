#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "commands.h"
#include "hawthornbank/types.h"

/// @file
/// Command-line arguments that several commands of hawthornctl share.
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

/// Parses a command line and stores the values in the arguments.
/// @param command The parser, which knows the arguments; receives the values.
/// @param words Words of the command line; the first names the command.
/// @throws Error kInvalidSettings naming the wrong argument and, for an unknown
///         option, the most similar valid option.
/// @throws TCLAP::ExitException after --help and --version.
auto ParseArguments(TCLAP::CmdLine& command, const Words& words) -> void;

/// @param arguments Parsed arguments.
/// @return Name of the region, from --region.
/// @throws Error kInvalidSettings when the name is not valid.
auto ReadRegionName(const CommonArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Author of the change, from --author.
/// @throws Error kInvalidSettings unless the author is one line of UTF-8 text
///         of 1 to 100 bytes.
auto ReadAuthor(const ChangeArguments& arguments) -> std::string;

/// @param arguments Parsed arguments.
/// @return Whether --platform or HAWTHORNCTL_PLATFORM gives an address.
auto HasPlatformAddress(const CommonArguments& arguments) -> bool;

/// @param arguments Parsed arguments.
/// @return Address of the platform, from --platform or HAWTHORNCTL_PLATFORM.
/// @throws Error kInvalidSettings when the address is missing or malformed.
auto ReadPlatformAddress(const CommonArguments& arguments) -> Endpoint;

/// @param arguments Parsed arguments.
/// @return Addresses of balancers, from --balancer or HAWTHORNCTL_BALANCERS.
/// @throws Error kInvalidSettings when no address is given or one is malformed.
auto ReadBalancerAddresses(const CommonArguments& arguments)
    -> std::vector<Endpoint>;

/// @param arguments Parsed arguments.
/// @return Addresses of agents, from --agent or HAWTHORNCTL_AGENTS; may be
/// none.
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
