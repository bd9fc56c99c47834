#include "hawthornbank/configuration_update.h"

#include "protocol/configuration_diff.h"

namespace hawthornbank {
namespace {

auto MakeConflictResult(const ConfigurationUpdate& update,
                        const std::string& winner) -> UpdateDone {
  UpdateDone done{.outcome = UpdateOutcome::kConflict,
                  .configuration = DecodeConfiguration(winner),
                  .value = {},
                  .winner_changes = {}};
  done.winner_changes =
      DescribeConfigurationChanges(update.base, done.configuration);
  return done;
}

auto MakeAcceptedResult(const ConfigurationUpdate& update) -> UpdateDone {
  return UpdateDone{.outcome = UpdateOutcome::kAccepted,
                    .configuration = update.wanted,
                    .value = update.write.value,
                    .winner_changes = {}};
}

/// @return Conflict with another update that can't be read back.
auto MakeConflictWithUnknownWinner() -> UpdateDone {
  return UpdateDone{.outcome = UpdateOutcome::kConflict,
                    .configuration = {},
                    .value = {},
                    .winner_changes = {}};
}

auto MakeReadBackStep(const ConfigurationUpdate& update) -> UpdateStep {
  return UpdateReadBack{.from = update.write.if_version};
}

/// Counts a lost answer.
/// @return UpdateReadBack, or UpdateDone after too many lost answers.
auto RetryOrGiveUpAfterUnknownAnswer(ConfigurationUpdate& update)
    -> UpdateStep {
  if (++update.unknown_answers > update.options.max_unknown_answers) {
    if (!update.may_have_written) {
      return MakeConflictWithUnknownWinner();
    }
    return UpdateDone{.outcome = UpdateOutcome::kUnknown,
                      .configuration = update.wanted,
                      .value = {},
                      .winner_changes = {}};
  }
  return MakeReadBackStep(update);
}

}  // namespace

auto OnUpdateRead(ConfigurationUpdate& update,
                  const std::optional<UpdateObject>& present) -> UpdateStep {
  if (present) {
    update.base = DecodeConfiguration(present->value);
  }
  update.wanted = update.base;
  update.options.edit(update.wanted);
  update.wanted.generation = Generation{ToInteger(update.base.generation) + 1};
  update.wanted.operation = update.options.operation;
  update.wanted.author = update.options.author;
  update.write = UpdateWrite{.if_version = present ? present->version : 0,
                             .operation = update.options.operation,
                             .value = EncodeConfiguration(update.wanted)};
  return update.write;
}

auto OnUpdateWritten(ConfigurationUpdate& update, UpdateWritten answer)
    -> UpdateStep {
  if (answer == UpdateWritten::kAccepted) {
    return MakeAcceptedResult(update);
  }
  if (answer == UpdateWritten::kUnknown) {
    update.may_have_written = true;
    return RetryOrGiveUpAfterUnknownAnswer(update);
  }
  // The conflicting write may be an earlier attempt of this same update.
  return MakeReadBackStep(update);
}

auto OnUpdateReadBack(ConfigurationUpdate& update, const UpdateHistory& history)
    -> UpdateStep {
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
    update.unknown_answers = update.options.max_unknown_answers;
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
