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
                      .configuration = update.requested,
                      .value = update.write.value,
                      .winner_changes = {}};
}

/// @return Result after a conflict with an update that the platform can no
///     longer return.
auto MakeConflictResultWithoutWinner() -> UpdateResult {
  return UpdateResult{.outcome = UpdateOutcome::kConflict,
                      .configuration = {},
                      .value = {},
                      .winner_changes = {}};
}

auto MakeReadChangesStep(const ConfigurationUpdate& update) -> UpdateStep {
  return ReadChangesForUpdate{.from = update.write.if_version};
}

/// Counts a lost answer of the platform.
/// @return ReadChangesForUpdate, or UpdateResult after too many lost answers.
auto ReadChangesOrEndUpdateAfterLostAnswer(ConfigurationUpdate& update)
    -> UpdateStep {
  if (++update.unanswered_calls > update.options.max_unanswered_calls) {
    if (!update.may_have_written) {
      return MakeConflictResultWithoutWinner();
    }
    return UpdateResult{.outcome = UpdateOutcome::kUnknown,
                        .configuration = update.requested,
                        .value = {},
                        .winner_changes = {}};
  }
  return MakeReadChangesStep(update);
}

}  // namespace

auto OnConfigurationObjectRead(
    ConfigurationUpdate& update,
    const std::optional<StoredConfigurationObject>& stored_object)
    -> UpdateStep {
  if (stored_object) {
    update.base = DecodeConfiguration(stored_object->value);
  }
  update.requested = update.base;
  update.options.edit(update.requested);
  update.requested.generation =
      Generation{ToInteger(update.base.generation) + 1};
  update.requested.operation = update.options.operation;
  update.requested.author = update.options.author;
  update.write =
      WriteForUpdate{.if_version = stored_object ? stored_object->version : 0,
                     .operation = update.options.operation,
                     .value = EncodeConfiguration(update.requested)};
  return update.write;
}

auto OnUpdateWriteAnswered(ConfigurationUpdate& update,
                           UpdateWriteAnswer answer) -> UpdateStep {
  if (answer == UpdateWriteAnswer::kAccepted) {
    return MakeAcceptedResult(update);
  }
  if (answer == UpdateWriteAnswer::kUnknown) {
    update.may_have_written = true;
    return ReadChangesOrEndUpdateAfterLostAnswer(update);
  }
  // The write that caused the conflict may be an earlier attempt of this same
  // update.
  return MakeReadChangesStep(update);
}

auto OnUpdateChangesRead(ConfigurationUpdate& update,
                         const ReadChangesAnswer& answer) -> UpdateStep {
  if (!answer.was_answered) {
    return ReadChangesOrEndUpdateAfterLostAnswer(update);
  }
  for (const auto& it : answer.changes) {
    if (DecodeConfiguration(it.value).operation == update.options.operation) {
      return MakeAcceptedResult(update);
    }
  }
  if (!answer.changes.empty() && !answer.history_expired) {
    return MakeConflictResult(update, answer.changes.front().value);
  }
  if (answer.history_expired && !update.may_have_written) {
    return MakeConflictResultWithoutWinner();
  }
  if (answer.history_expired) {
    update.unanswered_calls = update.options.max_unanswered_calls;
    return ReadChangesOrEndUpdateAfterLostAnswer(update);
  }
  // The object has not changed, so the write is retried. The write depends on
  // the version, so a retry and a delayed first attempt can't both take effect.
  return update.write;
}

auto DescribeConfigurationChanges(const Configuration& before,
                                  const Configuration& after)
    -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const auto& it : DiffConfigurations(before, after)) {
    lines.push_back(FormatConfigurationChange(it));
  }
  return lines;
}

}  // namespace hawthornbank
