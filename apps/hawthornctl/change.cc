#include "change.h"

#include <sodium.h>

#include <array>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "hawthornbank/error.h"
#include "in_force.h"
#include "protocol/configuration_diff.h"
#include "protocol/name.h"

namespace hawthornbank::hawthornctl {
namespace {

using nlohmann::json;
using transport::ChangeOutcome;
using transport::ChangeState;

/// Timeout of a call to the platform. The tool makes each call once, so it
/// waits as long as a daemon waits at most.
constexpr std::chrono::milliseconds kPlatformTimeout{5000};

auto MakePlatformClientOptions(const CommonArguments& common)
    -> transport::PlatformClientOptions {
  return {.address = ReadPlatformAddress(common), .timeout = kPlatformTimeout};
}

/// @return A new operation id of 128 random bits.
auto GenerateOperationId() -> std::string {
  constexpr std::size_t kOperationIdBytes = 16;
  if (sodium_init() < 0) {
    throw Error(ErrorKind::kInternal,
                "operation id: libsodium has no source of randomness");
  }
  std::array<unsigned char, kOperationIdBytes> bytes = {};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kOperationIdBytes + 1> text = {};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

auto ParseOperationId(const std::string& text) -> std::string {
  try {
    return ValidateName(text);
  } catch (const Error& error) {
    throw Error(error.kind(), std::string("--operation: ") + error.what());
  }
}

auto ConvertDiffToJson(const Configuration& before, const Configuration& after)
    -> json {
  json changes = json::array();
  for (const auto& it : DiffConfigurations(before, after)) {
    changes.push_back(json{{"subject", it.subject},
                           {"field", it.field},
                           {"before", it.before},
                           {"after", it.after}});
  }
  return changes;
}

auto PrintDiffLines(const Configuration& before, const Configuration& after)
    -> void {
  for (const auto& it : DiffConfigurations(before, after)) {
    std::cout << "  " << FormatConfigurationChange(it) << '\n';
  }
}

auto GetExitCodeForState(ChangeState state) -> int {
  switch (state) {
    case ChangeState::kAccepted:
    case ChangeState::kUnchanged:
      return 0;
    case ChangeState::kLostRace:
      return LookUpErrorAnswer(ErrorKind::kConflict).exit_code;
    case ChangeState::kOutcomeUnknown:
      break;
  }
  return LookUpErrorAnswer(ErrorKind::kOutcomeUnknown).exit_code;
}

auto GetChangeStateName(ChangeState state) -> const char* {
  switch (state) {
    case ChangeState::kAccepted:
      return "accepted";
    case ChangeState::kUnchanged:
      return "unchanged";
    case ChangeState::kLostRace:
      return "lost";
    case ChangeState::kOutcomeUnknown:
      break;
  }
  return "unknown";
}

auto PrintOutcomeAsJson(const ChangeOutcome& outcome,
                        const std::string& state,
                        const std::string& operation) -> void {
  json value{
      {"state", state},
      {"operation", operation},
      {"generation", ToInteger(outcome.requested_configuration.generation)},
      {"looked_up", outcome.was_looked_up},
      {"changes", ConvertDiffToJson(outcome.base_configuration,
                                    outcome.requested_configuration)}};
  if (outcome.state == ChangeState::kLostRace) {
    value["winner"] = json{
        {"author", outcome.winning_configuration.author},
        {"operation", outcome.winning_configuration.operation},
        {"generation", ToInteger(outcome.winning_configuration.generation)},
        {"changes", ConvertDiffToJson(outcome.base_configuration,
                                      outcome.winning_configuration)}};
  }
  std::cout << value.dump(2) << '\n';
}

auto PrintLostRaceOutcome(const ChangeOutcome& outcome) -> void {
  if (outcome.winning_configuration.generation == Generation{}) {
    std::cout << "Not accepted: another change was accepted first, and the "
                 "platform does not say which. Your change was not made. To "
                 "apply it on top of the other, run the same command again.\n";
    return;
  }
  std::cout << "Not accepted: " << outcome.winning_configuration.author
            << " changed the configuration first (generation "
            << ToInteger(outcome.winning_configuration.generation)
            << ", operation " << outcome.winning_configuration.operation
            << "). Your change was not made. "
            << "Changes accepted in the meantime:\n";
  PrintDiffLines(outcome.base_configuration, outcome.winning_configuration);
  std::cout << "To apply yours on top of them, run the same command again.\n";
}

auto PrintUnknownOutcome(const ChangeOutcome& outcome,
                         const std::string& operation) -> void {
  if (outcome.is_history_expired) {
    std::cout << "Unknown whether operation " << operation
              << " was accepted: the platform no longer keeps the history of "
                 "that time. Nothing is written now. Check the accepted "
                 "configuration, and run the command without --operation if "
                 "the change is still wanted.\n";
    return;
  }
  std::cout
      << "Unknown whether the change was accepted: the platform's answer was "
         "lost";
  std::cout << (outcome.was_unchanged_at_last_lookup
                    ? ", and the change was not in the configuration when last "
                      "read; it may still be accepted.\n"
                    : ", and the change could not be looked up.\n");
  std::cout << "To find out, run the same command with --operation "
            << operation
            << ": an accepted change is then reported, not repeated.\n";
}

auto PrintOutcomeAsText(const ChangeOutcome& outcome,
                        const std::string& operation) -> void {
  switch (outcome.state) {
    case ChangeState::kAccepted:
      std::cout
          << "Accepted: generation "
          << ToInteger(outcome.requested_configuration.generation)
          << ", operation " << operation
          << (outcome.was_looked_up
                  ? " (the platform's answer was lost; looked up by operation "
                    "id)\n"
                  : "\n");
      PrintDiffLines(outcome.base_configuration,
                     outcome.requested_configuration);
      break;
    case ChangeState::kUnchanged:
      std::cout << "Nothing to change.\n";
      break;
    case ChangeState::kLostRace:
      PrintLostRaceOutcome(outcome);
      break;
    case ChangeState::kOutcomeUnknown:
      PrintUnknownOutcome(outcome, operation);
      break;
  }
}

auto PreviewConfigurationChange(const CommonArguments& common,
                                const transport::ConfigurationEdit& edit)
    -> int {
  ChangeOutcome outcome{.base_configuration =
                            ReadAcceptedConfiguration(common)};
  outcome.requested_configuration = edit(outcome.base_configuration);
  if (common.json.getValue()) {
    PrintOutcomeAsJson(outcome, "dry_run", "");
  } else if (DiffConfigurations(outcome.base_configuration,
                                outcome.requested_configuration)
                 .empty()) {
    std::cout << "Nothing to change.\n";
  } else {
    std::cout << "Would change (dry run, nothing is written):\n";
    PrintDiffLines(outcome.base_configuration, outcome.requested_configuration);
  }
  return 0;
}

}  // namespace

auto ApplyConfigurationChange(const CommonArguments& common,
                              const ChangeArguments& arguments,
                              const transport::ConfigurationEdit& edit) -> int {
  const std::string author = ReadAuthor(arguments);
  if (arguments.dry_run.getValue()) {
    return PreviewConfigurationChange(common, edit);
  }
  const auto balancers = arguments.wait.getValue()
                             ? ReadBalancerAddresses(common)
                             : std::vector<Endpoint>{};
  const std::string operation =
      arguments.operation.isSet()
          ? ParseOperationId(arguments.operation.getValue())
          : GenerateOperationId();
  transport::PlatformClient client(MakePlatformClientOptions(common));
  const auto outcome =
      transport::ChangeConfiguration(transport::MakeObjectStore(client),
                                     {.region = ReadRegionName(common),
                                      .author = author,
                                      .operation = operation,
                                      .is_retry = arguments.operation.isSet()},
                                     edit);
  common.json.getValue()
      ? PrintOutcomeAsJson(outcome, GetChangeStateName(outcome.state),
                           operation)
      : PrintOutcomeAsText(outcome, operation);
  const bool accepted = outcome.state == ChangeState::kAccepted;
  if (accepted && arguments.wait.getValue()) {
    return WaitUntilGenerationInForce(
        balancers, outcome.requested_configuration.generation,
        std::chrono::seconds{arguments.wait_limit.getValue()});
  }
  return GetExitCodeForState(outcome.state);
}

auto PrintConfigurationDiff(const Configuration& before,
                            const Configuration& after,
                            bool json) -> void {
  const auto changes = DiffConfigurations(before, after);
  if (json) {
    std::cout << ConvertDiffToJson(before, after).dump(2) << '\n';
    return;
  }
  for (const auto& it : changes) {
    std::cout << FormatConfigurationChange(it) << '\n';
  }
  if (changes.empty()) {
    std::cout << "Nothing to change.\n";
  }
}

auto ReadAcceptedConfiguration(const CommonArguments& common) -> Configuration {
  transport::PlatformClient client(MakePlatformClientOptions(common));
  return transport::ReadConfiguration(transport::MakeObjectStore(client),
                                      ReadRegionName(common))
      .configuration;
}

}  // namespace hawthornbank::hawthornctl
