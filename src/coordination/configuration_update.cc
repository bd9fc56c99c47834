#include "hawthornbank/configuration_update.h"

#include "protocol/configuration_diff.h"

namespace hawthornbank {
namespace {

auto MakeConflictResult(const ConfigurationUpdate& update,
                        const std::string& winner) -> UpdateResult {
  UpdateResult done{.outcome = UpdateOutcome::kConflict,
                    .configuration = DecodeConfiguration(winner),
                    .value = {},
                    .winner_changes = {}};
  done.winner_changes =
      DescribeConfigurationChanges(update.base, done.configuration);
  return done;
}

auto MakeAcceptedResult(const ConfigurationUpdate& update) -> UpdateResult {
  return UpdateResult{.outcome = UpdateOutcome::kAccepted,
                      .configuration = update.wanted,
                      .value = update.write.value,
                      .winner_changes = {}};
}

/// @return Conflict with another update that can't be read back.
auto MakeConflictWithUnknownWinner() -> UpdateResult {
  return UpdateResult{.outcome = UpdateOutcome::kConflict,
                      .configuration = {},
                      .value = {},
                      .winner_changes = {}};
}

auto MakeReadBackStep(const ConfigurationUpdate& update) -> UpdateStep {
  return ReadChangesForUpdate{.from = update.write.if_version};
}

/// Counts a lost answer.
/// @return ReadChangesForUpdate, or UpdateResult after too many lost answers.
auto RetryOrGiveUpAfterUnknownAnswer(ConfigurationUpdate& update)
    -> UpdateStep {
  if (++update.unanswered_calls > update.options.max_unanswered_calls) {
    if (!update.may_have_written) {
      return MakeConflictWithUnknownWinner();
    }
    return UpdateResult{.outcome = UpdateOutcome::kUnknown,
                        .configuration = update.wanted,
                        .value = {},
                        .winner_changes = {}};
  }
  return MakeReadBackStep(update);
}

}  // namespace

auto OnConfigurationObjectRead(
    ConfigurationUpdate& update,
    const std::optional<StoredConfigurationObject>& present) -> UpdateStep {
  if (present) {
    update.base = DecodeConfiguration(present->value);
  }
  update.wanted = update.base;
  update.options.edit(update.wanted);
  update.wanted.generation = Generation{ToInteger(update.base.generation) + 1};
  update.wanted.operation = update.options.operation;
  update.wanted.author = update.options.author;
  update.write = WriteForUpdate{.if_version = present ? present->version : 0,
                                .operation = update.options.operation,
                                .value = EncodeConfiguration(update.wanted)};
  return update.write;
}

auto OnUpdateWriteAnswered(ConfigurationUpdate& update,
                           UpdateWriteAnswer answer) -> UpdateStep {
  if (answer == UpdateWriteAnswer::kAccepted) {
    return MakeAcceptedResult(update);
  }
  if (answer == UpdateWriteAnswer::kUnknown) {
    update.may_have_written = true;
    return RetryOrGiveUpAfterUnknownAnswer(update);
  }
  // The conflicting write may be an earlier attempt of this same update.
  return MakeReadBackStep(update);
}

auto OnUpdateHistoryRead(ConfigurationUpdate& update,
                         const UpdateReadBackAnswer& history) -> UpdateStep {
  if (!history.reached) {
    return RetryOrGiveUpAfterUnknownAnswer(update);
  }
  for (const auto& it : history.changes) {
    if (DecodeConfiguration(it.value).operation == update.options.operation) {
      return MakeAcceptedResult(update);
    }
  }
  if (!history.changes.empty() && !history.gone) {
    return MakeConflictResult(update, history.changes.front().value);
  }
  if (history.gone && !update.may_have_written) {
    return MakeConflictWithUnknownWinner();
  }
  if (history.gone) {
    update.unanswered_calls = update.options.max_unanswered_calls;
    return RetryOrGiveUpAfterUnknownAnswer(update);
  }
  // The object has not changed, so the write is retried. The write is
  // conditional, so a retry and a delayed first attempt can't both take effect.
  return update.write;
}

auto DescribeConfigurationChanges(const Configuration& before,
                                  const Configuration& after)
    -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const auto& it : DiffConfigurations(before, after)) {
    lines.push_back(ToText(it));
  }
  return lines;
}

}  // namespace hawthornbank
