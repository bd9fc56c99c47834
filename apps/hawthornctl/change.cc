#include "change.h"

#include <sodium.h>

#include <array>
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

/// @return A new operation id of 128 random bits.
auto MakeOperationId() -> std::string {
  constexpr std::size_t kBytes = 16;
  if (sodium_init() < 0) {
    throw Error(ErrorKind::kInternal, "there is no source of randomness");
  }
  std::array<unsigned char, kBytes> bytes = {};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kBytes + 1> text = {};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

auto ReadOperation(const std::string& text) -> std::string {
  try {
    return ReadName(text);
  } catch (const Error& error) {
    throw Error(error.kind(), std::string("--operation: ") + error.what());
  }
}

auto DiffToJson(const Configuration& before, const Configuration& after)
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

auto PrintLines(const Configuration& before, const Configuration& after)
    -> void {
  for (const auto& it : DiffConfigurations(before, after)) {
    std::cout << "  " << ToText(it) << '\n';
  }
}

auto ExitCodeOf(ChangeState state) -> int {
  switch (state) {
    case ChangeState::kAccepted:
    case ChangeState::kUnchanged:
      return 0;
    case ChangeState::kLost:
      return AnswerFor(ErrorKind::kConflict).exit_code;
    case ChangeState::kUnknown:
      break;
  }
  return AnswerFor(ErrorKind::kOutcomeUnknown).exit_code;
}

auto StateName(ChangeState state) -> const char* {
  switch (state) {
    case ChangeState::kAccepted:
      return "accepted";
    case ChangeState::kUnchanged:
      return "unchanged";
    case ChangeState::kLost:
      return "lost";
    case ChangeState::kUnknown:
      break;
  }
  return "unknown";
}

auto PrintJson(const ChangeOutcome& outcome,
               const std::string& state,
               const std::string& operation) -> void {
  json value{{"state", state},
             {"operation", operation},
             {"generation", ToInteger(outcome.after.generation)},
             {"looked_up", outcome.looked_up},
             {"changes", DiffToJson(outcome.before, outcome.after)}};
  if (outcome.state == ChangeState::kLost) {
    value["winner"] =
        json{{"author", outcome.winner.author},
             {"operation", outcome.winner.operation},
             {"generation", ToInteger(outcome.winner.generation)},
             {"changes", DiffToJson(outcome.before, outcome.winner)}};
  }
  std::cout << value.dump(2) << '\n';
}

auto PrintLost(const ChangeOutcome& outcome) -> void {
  if (outcome.winner.generation == Generation{}) {
    std::cout << "Not accepted: another change was first, and the platform "
                 "does not say which. Nothing of yours was changed. To redo "
                 "yours on top of it, run the same command again.\n";
    return;
  }
  std::cout << "Not accepted: " << outcome.winner.author
            << " was first (generation " << ToInteger(outcome.winner.generation)
            << ", operation " << outcome.winner.operation
            << "). Nothing of yours was changed. "
            << "What changed meanwhile:\n";
  PrintLines(outcome.before, outcome.winner);
  std::cout << "To redo yours on top of it, run the same command again.\n";
}

auto PrintUnknown(const ChangeOutcome& outcome, const std::string& operation)
    -> void {
  if (outcome.history_gone) {
    std::cout << "Unknown whether operation " << operation
              << " was accepted: the platform no longer keeps the changes of "
                 "its time. Nothing is written now. See what is accepted, and "
                 "run the command without --operation if it is still wanted.\n";
    return;
  }
  std::cout << "Unknown whether it is accepted: the platform's answer was "
               "lost";
  std::cout << (outcome.seen_unchanged
                    ? ", and the change was not in effect when last seen; it "
                      "may still take effect.\n"
                    : ", and it could not be looked up.\n");
  std::cout << "To find out, run the same command with --operation "
            << operation
            << ": an accepted change is then reported, not repeated.\n";
}

auto PrintText(const ChangeOutcome& outcome, const std::string& operation)
    -> void {
  switch (outcome.state) {
    case ChangeState::kAccepted:
      std::cout << "Accepted: generation "
                << ToInteger(outcome.after.generation) << ", operation "
                << operation
                << (outcome.looked_up
                        ? " (the answer was lost; looked up by operation)\n"
                        : "\n");
      PrintLines(outcome.before, outcome.after);
      break;
    case ChangeState::kUnchanged:
      std::cout << "Nothing to change.\n";
      break;
    case ChangeState::kLost:
      PrintLost(outcome);
      break;
    case ChangeState::kUnknown:
      PrintUnknown(outcome, operation);
      break;
  }
}

auto ShowDryRun(const CommonArguments& common, const transport::Edit& edit)
    -> int {
  ChangeOutcome outcome{.before = ReadAccepted(common)};
  outcome.after = edit(outcome.before);
  if (common.json.getValue()) {
    PrintJson(outcome, "dry_run", "");
  } else if (DiffConfigurations(outcome.before, outcome.after).empty()) {
    std::cout << "Nothing to change.\n";
  } else {
    std::cout << "Would change (dry run, nothing is written):\n";
    PrintLines(outcome.before, outcome.after);
  }
  return 0;
}

}  // namespace

auto MakeChange(const CommonArguments& common,
                const ChangeArguments& arguments,
                const transport::Edit& edit) -> int {
  const std::string author = Author(arguments);
  if (arguments.dry_run.getValue()) {
    return ShowDryRun(common, edit);
  }
  const auto balancers = arguments.wait.getValue() ? BalancerAddresses(common)
                                                   : std::vector<Endpoint>{};
  const std::string operation =
      arguments.operation.isSet()
          ? ReadOperation(arguments.operation.getValue())
          : MakeOperationId();
  transport::PlatformClient client({.address = PlatformAddress(common)});
  const auto outcome =
      transport::ChangeConfiguration(transport::StoreOf(client),
                                     {.region = Region(common),
                                      .author = author,
                                      .operation = operation,
                                      .is_retry = arguments.operation.isSet()},
                                     edit);
  common.json.getValue()
      ? PrintJson(outcome, StateName(outcome.state), operation)
      : PrintText(outcome, operation);
  const bool accepted = outcome.state == ChangeState::kAccepted;
  if (accepted && arguments.wait.getValue()) {
    return WaitUntilInForce(
        balancers, outcome.after.generation,
        std::chrono::seconds{arguments.wait_limit.getValue()});
  }
  return ExitCodeOf(outcome.state);
}

auto PrintDiff(const Configuration& before,
               const Configuration& after,
               bool json) -> void {
  const auto changes = DiffConfigurations(before, after);
  if (json) {
    std::cout << DiffToJson(before, after).dump(2) << '\n';
    return;
  }
  for (const auto& it : changes) {
    std::cout << ToText(it) << '\n';
  }
  if (changes.empty()) {
    std::cout << "Nothing to change.\n";
  }
}

auto ReadAccepted(const CommonArguments& common) -> Configuration {
  transport::PlatformClient client({.address = PlatformAddress(common)});
  return transport::ReadConfiguration(transport::StoreOf(client),
                                      Region(common))
      .configuration;
}

}  // namespace hawthornbank::hawthornctl
