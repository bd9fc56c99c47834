#include "arguments.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "hawthornbank/error.h"
#include "protocol/name.h"
#include "protocol/sheet_cells.h"
#include "transport/command_line.h"
#include "transport/settings_values.h"

namespace hawthornbank::hawthornctl {
namespace {

auto ReadEnvironmentVariable(const char* name) -> std::string {
  // getenv() is safe here: no other thread has started yet.
  const char* const value = std::getenv(name);
  return value != nullptr ? value : "";
}

/// Parses an address; errors name the argument that holds it.
auto ParseAddressArgument(const std::string& text, const std::string& argument)
    -> Endpoint {
  try {
    return transport::ReadRemoteEndpoint(text);
  } catch (const Error& error) {
    throw Error(error.kind(), argument + ": " + error.what());
  }
}

/// Parses the addresses given by an option. If the option is absent, parses the
/// addresses in an environment variable.
/// @return The addresses; empty when option and variable are absent.
auto ReadAddressesFromOptionOrVariable(
    const TCLAP::MultiArg<std::string>& option,
    const char* variable) -> std::vector<Endpoint> {
  std::vector<Endpoint> endpoints;
  for (const auto& it : option.getValue()) {
    endpoints.push_back(ParseAddressArgument(it, "--" + option.getName()));
  }
  const std::string addresses = ReadEnvironmentVariable(variable);
  if (!endpoints.empty() || addresses.empty()) {
    return endpoints;
  }
  try {
    return transport::ReadRemoteEndpointList(addresses);
  } catch (const Error& error) {
    throw Error(error.kind(), std::string(variable) + ": " + error.what());
  }
}

auto ReadPlatformOptionOrVariable(const CommonArguments& arguments)
    -> std::string {
  return arguments.platform.isSet()
             ? arguments.platform.getValue()
             : ReadEnvironmentVariable("HAWTHORNCTL_PLATFORM");
}

auto ReadDefaultAuthor() -> std::string {
  const std::string user = ReadEnvironmentVariable("USER");
  return user.empty() ? "unknown" : user;
}

}  // namespace

CommonArguments::CommonArguments(TCLAP::CmdLine& command)
    : platform("",
               "platform",
               "Object API of the platform; default: HAWTHORNCTL_PLATFORM",
               false,
               "",
               "ADDRESS:PORT",
               command),
      region("", "region", "Region", false, "main", "NAME", command),
      balancers("",
                "balancer",
                "HTTP endpoint of a balancer; default: "
                "HAWTHORNCTL_BALANCERS, separated by commas",
                false,
                "ADDRESS:PORT",
                command),
      json("", "json", "Print the result as JSON", command) {}

AgentArguments::AgentArguments(TCLAP::CmdLine& command)
    : agents("",
             "agent",
             "HTTP endpoint of an agent; default: "
             "HAWTHORNCTL_AGENTS, separated by commas",
             false,
             "ADDRESS:PORT",
             command) {}

ChangeArguments::ChangeArguments(TCLAP::CmdLine& command)
    : dry_run("", "dry-run", "Show the change without making it", command),
      wait("", "wait", "Wait until the change is in force everywhere", command),
      wait_limit("",
                 "wait-limit-s",
                 "Longest wait in seconds",
                 false,
                 30,
                 "SECONDS",
                 command),
      author("",
             "author",
             "Author of the change; default: USER",
             false,
             ReadDefaultAuthor(),
             "NAME",
             command),
      operation("",
                "operation",
                "Operation id of an earlier attempt; an accepted change is not "
                "repeated",
                false,
                "",
                "ID",
                command) {}

auto ParseArguments(TCLAP::CmdLine& command, const Words& words) -> void {
  transport::ParseCommandLine(command, words);
}

auto ReadRegionName(const CommonArguments& arguments) -> std::string {
  try {
    return ValidateName(arguments.region.getValue());
  } catch (const Error& error) {
    throw Error(error.kind(), std::string("--region: ") + error.what());
  }
}

auto ReadAuthor(const ChangeArguments& arguments) -> std::string {
  constexpr std::size_t kMaxAuthorBytes = 100;
  const std::string& author = arguments.author.getValue();
  const bool is_one_line = std::none_of(
      author.begin(), author.end(),
      [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; });
  if (author.empty() || author.size() > kMaxAuthorBytes || !is_one_line ||
      !IsUtf8WithoutNul(author)) {
    throw Error(ErrorKind::kInvalidSettings,
                "--author: is not one line of UTF-8 text of 1 to " +
                    std::to_string(kMaxAuthorBytes) + " bytes");
  }
  return author;
}

auto HasPlatformAddress(const CommonArguments& arguments) -> bool {
  return !ReadPlatformOptionOrVariable(arguments).empty();
}

auto ReadPlatformAddress(const CommonArguments& arguments) -> Endpoint {
  const std::string text = ReadPlatformOptionOrVariable(arguments);
  if (text.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                "the platform's address is missing: give --platform "
                "ADDRESS:PORT or set HAWTHORNCTL_PLATFORM");
  }
  return ParseAddressArgument(
      text, arguments.platform.isSet() ? "--platform" : "HAWTHORNCTL_PLATFORM");
}

auto ReadBalancerAddresses(const CommonArguments& arguments)
    -> std::vector<Endpoint> {
  auto endpoints = ReadAddressesFromOptionOrVariable(arguments.balancers,
                                                     "HAWTHORNCTL_BALANCERS");
  if (endpoints.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                "no balancer is given: give --balancer ADDRESS:PORT (its "
                "listen.metrics) or set HAWTHORNCTL_BALANCERS");
  }
  return endpoints;
}

auto ReadAgentAddresses(const AgentArguments& arguments)
    -> std::vector<Endpoint> {
  return ReadAddressesFromOptionOrVariable(arguments.agents,
                                           "HAWTHORNCTL_AGENTS");
}

auto ReadFileContent(const std::string& path) -> std::string {
  std::error_code ec;
  const bool is_file = std::filesystem::is_regular_file(path, ec);
  std::ifstream file(path, std::ios::binary);
  if (!is_file || !file) {
    throw Error(ErrorKind::kInvalidSettings,
                path + ": there is no such file, or it can't be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace hawthornbank::hawthornctl
