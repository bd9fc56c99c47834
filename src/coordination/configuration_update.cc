#include "hawthornbank/configuration_update.h"

#include "protocol/configuration_diff.h"

namespace hawthornbank {
namespace {

auto Lost(const ConfigurationUpdate& update, const std::string& winner)
    -> UpdateDone {
  UpdateDone done{.outcome = UpdateOutcome::kConflict,
                  .configuration = DecodeConfiguration(winner),
                  .value = {},
                  .winner_changes = {}};
  done.winner_changes = DescribeChanges(update.base, done.configuration);
  return done;
}

auto Accepted(const ConfigurationUpdate& update) -> UpdateDone {
  return UpdateDone{.outcome = UpdateOutcome::kAccepted,
                    .configuration = update.wanted,
                    .value = update.write.value,
                    .winner_changes = {}};
}

/// Another change won, but which one can't be read.
auto LostToUnnamed() -> UpdateDone {
  return UpdateDone{.outcome = UpdateOutcome::kConflict,
                    .configuration = {},
                    .value = {},
                    .winner_changes = {}};
}

auto ReadBack(const ConfigurationUpdate& update) -> UpdateStep {
  return UpdateReadBack{.from = update.write.if_version};
}

/// Counts an answer that says nothing, and gives up after too many.
auto OnUnknown(ConfigurationUpdate& update) -> UpdateStep {
  if (++update.unknown_answers > update.options.max_unknown_answers) {
    if (!update.may_have_written) {
      return LostToUnnamed();
    }
    return UpdateDone{.outcome = UpdateOutcome::kUnknown,
                      .configuration = update.wanted,
                      .value = {},
                      .winner_changes = {}};
  }
  return ReadBack(update);
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
    return Accepted(update);
  }
  if (answer == UpdateWritten::kUnknown) {
    update.may_have_written = true;
    return OnUnknown(update);
  }
  // The winner may be an earlier try of this very write.
  return ReadBack(update);
}

auto OnUpdateReadBack(ConfigurationUpdate& update, const UpdateHistory& history)
    -> UpdateStep {
  if (!history.reached) {
    return OnUnknown(update);
  }
  for (const auto& it : history.changes) {
    if (DecodeConfiguration(it.value).operation == update.options.operation) {
      return Accepted(update);
    }
  }
  if (!history.changes.empty() && !history.gone) {
    return Lost(update, history.changes.front().value);
  }
  if (history.gone && !update.may_have_written) {
    return LostToUnnamed();
  }
  if (history.gone) {
    update.unknown_answers = update.options.max_unknown_answers;
    return OnUnknown(update);
  }
  // Nothing has changed: the write is conditional, so that a repeat and a
  // delayed first try can't both take effect.
  return update.write;
}

auto DescribeChanges(const Configuration& before, const Configuration& after)
    -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const auto& it : DiffConfigurations(before, after)) {
    lines.push_back(ToText(it));
  }
  return lines;
}

}  // namespace hawthornbank
