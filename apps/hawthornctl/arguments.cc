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

auto FromEnvironment(const char* name) -> std::string {
  // Read before any thread starts.
  const char* const value = std::getenv(name);
  return value != nullptr ? value : "";
}

/// Adds the name of the argument to the reason why it is wrong.
auto ReadAddress(const std::string& text, const std::string& argument)
    -> Endpoint {
  try {
    return transport::ReadRemote(text);
  } catch (const Error& error) {
    throw Error(error.kind(), argument + ": " + error.what());
  }
}

/// @return The addresses of an option, or else of an environment variable.
auto ReadAddresses(const TCLAP::MultiArg<std::string>& option,
                   const char* variable) -> std::vector<Endpoint> {
  std::vector<Endpoint> endpoints;
  for (const auto& it : option.getValue()) {
    endpoints.push_back(ReadAddress(it, "--" + option.getName()));
  }
  const std::string list = FromEnvironment(variable);
  if (!endpoints.empty() || list.empty()) {
    return endpoints;
  }
  try {
    return transport::ReadEndpoints(list);
  } catch (const Error& error) {
    throw Error(error.kind(), std::string(variable) + ": " + error.what());
  }
}

auto PlatformText(const CommonArguments& arguments) -> std::string {
  return arguments.platform.isSet() ? arguments.platform.getValue()
                                    : FromEnvironment("HAWTHORNCTL_PLATFORM");
}

auto DefaultAuthor() -> std::string {
  const std::string user = FromEnvironment("USER");
  return user.empty() ? "unknown" : user;
}

}  // namespace

CommonArguments::CommonArguments(TCLAP::CmdLine& command)
    : platform("",
               "platform",
               "Object API of the platform; else HAWTHORNCTL_PLATFORM",
               false,
               "",
               "ADDRESS:PORT",
               command),
      region("", "region", "Region", false, "main", "NAME", command),
      balancers("",
                "balancer",
                "HTTP endpoint of a balancer, may stand several times; else "
                "HAWTHORNCTL_BALANCERS, a list with commas",
                false,
                "ADDRESS:PORT",
                command),
      json("", "json", "Answer as JSON", command) {}

AgentArguments::AgentArguments(TCLAP::CmdLine& command)
    : agents("",
             "agent",
             "HTTP endpoint of an agent, may stand several times; else "
             "HAWTHORNCTL_AGENTS, a list with commas",
             false,
             "ADDRESS:PORT",
             command) {}

ChangeArguments::ChangeArguments(TCLAP::CmdLine& command)
    : dry_run("", "dry-run", "Show the change without making it", command),
      wait("", "wait", "Wait until it is in force everywhere", command),
      wait_limit("",
                 "wait-limit-s",
                 "Longest wait in seconds",
                 false,
                 30,
                 "SECONDS",
                 command),
      author("",
             "author",
             "Who makes the change; else USER",
             false,
             DefaultAuthor(),
             "NAME",
             command),
      operation("",
                "operation",
                "Operation id of an earlier try, which is then not repeated",
                false,
                "",
                "ID",
                command) {}

auto Parse(TCLAP::CmdLine& command, const Words& words) -> void {
  transport::ParseCommandLine(command, words);
}

auto Region(const CommonArguments& arguments) -> std::string {
  try {
    return ReadName(arguments.region.getValue());
  } catch (const Error& error) {
    throw Error(error.kind(), std::string("--region: ") + error.what());
  }
}

auto Author(const ChangeArguments& arguments) -> std::string {
  constexpr std::size_t kLongest = 100;
  const std::string& author = arguments.author.getValue();
  const bool is_plain = std::none_of(author.begin(), author.end(), [](char c) {
    return std::iscntrl(static_cast<unsigned char>(c)) != 0;
  });
  if (author.empty() || author.size() > kLongest || !is_plain ||
      !IsUtf8(author)) {
    throw Error(ErrorKind::kInvalidSettings,
                "--author: is not one line of text, at most " +
                    std::to_string(kLongest) + " bytes");
  }
  return author;
}

auto HasPlatform(const CommonArguments& arguments) -> bool {
  return !PlatformText(arguments).empty();
}

auto PlatformAddress(const CommonArguments& arguments) -> Endpoint {
  const std::string text = PlatformText(arguments);
  if (text.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                "the platform's address is missing: give --platform "
                "ADDRESS:PORT or set HAWTHORNCTL_PLATFORM");
  }
  return ReadAddress(
      text, arguments.platform.isSet() ? "--platform" : "HAWTHORNCTL_PLATFORM");
}

auto BalancerAddresses(const CommonArguments& arguments)
    -> std::vector<Endpoint> {
  auto endpoints = ReadAddresses(arguments.balancers, "HAWTHORNCTL_BALANCERS");
  if (endpoints.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                "no balancer is given: give --balancer ADDRESS:PORT (its "
                "listen.metrics) or set HAWTHORNCTL_BALANCERS");
  }
  return endpoints;
}

auto AgentAddresses(const AgentArguments& arguments) -> std::vector<Endpoint> {
  return ReadAddresses(arguments.agents, "HAWTHORNCTL_AGENTS");
}

auto ReadFile(const std::string& path) -> std::string {
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
