#include "transport/configuration_change.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "hawthornbank/configuration_update.h"
#include "hawthornbank/error.h"

namespace hawthornbank::transport {
namespace {

constexpr auto kConfigurationKind = "configuration";
constexpr std::chrono::milliseconds kInitialBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{1000};

/// State of a change in progress.
struct ChangeInProgress {
  const ObjectStore& store;
  const ChangeRequest& request;
  ConfigurationUpdate update;
  ChangeOutcome outcome;
  std::chrono::milliseconds wait = kInitialBackoff;
  int waits = 0;
};

/// @return The number of backoff waits whose total time reaches `limit`.
auto CountBackoffWaitsUntilLimit(std::chrono::milliseconds limit) -> int {
  int n = 1;
  std::chrono::milliseconds wait = kInitialBackoff;
  for (auto waited = wait; waited < limit; waited += wait) {
    wait = std::min(2 * wait, kMaxBackoff);
    ++n;
  }
  return n;
}

/// Reads the newest value when the platform no longer keeps the change history.
/// @return An answer without changes if the version is unchanged. Otherwise the
///         newest value is the only change, and the history is marked as
///         expired if other changes may be missing.
auto ReadChangesFromNewestValue(const ChangeInProgress& change)
    -> ReadChangesAnswer {
  const auto present =
      change.store.get(kConfigurationKind, change.request.region);
  const std::uint64_t version = present ? present->version : 0;
  if (version == change.update.write.if_version) {
    return ReadChangesAnswer{
        .was_answered = true, .history_expired = false, .changes = {}};
  }
  ReadChangesAnswer answer{
      .was_answered = true, .history_expired = true, .changes = {}};
  if (present) {
    // Each change raises the generation by one. If the newest value has the
    // generation of this change, only one change was made since the read.
    answer.history_expired = DecodeConfiguration(present->value).generation !=
                             change.update.requested.generation;
    answer.changes.push_back(
        StoredConfigurationObject{.version = version, .value = present->value});
  }
  return answer;
}

auto ExtractChangesFromWatch(const WatchResult& result,
                             const std::string& region) -> ReadChangesAnswer {
  ReadChangesAnswer answer{.was_answered = true,
                           .history_expired = result.history_expired,
                           .changes = {}};
  for (const auto& it : result.objects) {
    if (it.name == region) {
      answer.changes.push_back(
          StoredConfigurationObject{.version = it.version, .value = it.value});
    }
  }
  return answer;
}

auto ReadConfigurationChanges(const ChangeInProgress& change,
                              std::uint64_t from) -> ReadChangesAnswer {
  try {
    const auto result = change.store.watch(kConfigurationKind, from,
                                           std::chrono::milliseconds{0});
    return result.history_expired
               ? ReadChangesFromNewestValue(change)
               : ExtractChangesFromWatch(result, change.request.region);
  } catch (const Error& error) {
    if (error.kind() != ErrorKind::kPlatformUnavailable) {
      throw;
    }
    return ReadChangesAnswer{};
  }
}

auto WriteConfiguration(ChangeInProgress& change, const WriteForUpdate& write)
    -> UpdateWriteAnswer {
  try {
    change.store.put(kConfigurationKind, change.request.region,
                     write.if_version, write.operation, write.value);
    return UpdateWriteAnswer::kAccepted;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      return UpdateWriteAnswer::kConflict;
    }
    if (error.kind() != ErrorKind::kPlatformUnavailable) {
      throw;
    }
    change.outcome.was_looked_up = true;
    return UpdateWriteAnswer::kUnknown;
  }
}

/// Waits with exponential backoff after a lost answer; returns at once when no
/// answer was lost since the last wait.
auto WaitAfterLostAnswer(ChangeInProgress& change) -> void {
  if (change.waits == change.update.unanswered_calls) {
    return;
  }
  change.waits = change.update.unanswered_calls;
  change.store.wait(change.wait);
  change.wait = std::min(2 * change.wait, kMaxBackoff);
}

auto PerformUpdateStep(ChangeInProgress& change, const UpdateStep& step)
    -> UpdateStep {
  if (const auto* write = std::get_if<WriteForUpdate>(&step)) {
    return OnUpdateWriteAnswered(change.update,
                                 WriteConfiguration(change, *write));
  }
  WaitAfterLostAnswer(change);
  const auto answer = ReadConfigurationChanges(
      change, std::get<ReadChangesForUpdate>(step).from);
  if (answer.was_answered) {
    change.outcome.was_unchanged_at_last_lookup =
        answer.changes.empty() && !answer.history_expired;
  }
  return OnUpdateChangesRead(change.update, answer);
}

/// Reads the newest configuration, which is reported as the winner when the
/// history doesn't contain the winning change.
/// @return The configuration; empty when it can't be read.
auto ReadWinningConfiguration(const ChangeInProgress& change) -> Configuration {
  try {
    return ReadConfiguration(change.store, change.request.region).configuration;
  } catch (const Error&) {
    return Configuration{};
  }
}

auto RecordChangeOutcome(ChangeInProgress& change, const UpdateResult& done)
    -> void {
  switch (done.outcome) {
    case UpdateOutcome::kAccepted:
      change.outcome.state = ChangeState::kAccepted;
      break;
    case UpdateOutcome::kConflict:
      change.outcome.state = ChangeState::kLostRace;
      change.outcome.winning_configuration =
          done.configuration.generation == Generation{}
              ? ReadWinningConfiguration(change)
              : done.configuration;
      break;
    case UpdateOutcome::kUnknown:
      change.outcome.state = ChangeState::kOutcomeUnknown;
      break;
  }
}

/// Looks for an earlier attempt of the change and sets the outcome from it.
/// @return Whether nothing must be written, because an earlier attempt was
///         accepted or the history that would show the attempt has expired.
auto DetermineOutcomeFromEarlierAttempt(ChangeInProgress& change) -> bool {
  const Configuration present = change.outcome.base_configuration;
  if (present.operation == change.request.operation) {
    change.outcome.state = ChangeState::kAccepted;
    change.outcome.requested_configuration = present;
    return true;
  }
  if (!change.request.is_retry) {
    return false;
  }
  const auto result =
      change.store.watch(kConfigurationKind, 0, std::chrono::milliseconds{0});
  const auto answer = ExtractChangesFromWatch(result, change.request.region);
  for (const auto& it : answer.changes) {
    auto configuration = DecodeConfiguration(it.value);
    if (configuration.operation == change.request.operation) {
      change.outcome.state = ChangeState::kAccepted;
      change.outcome.requested_configuration = std::move(configuration);
      return true;
    }
    change.outcome.base_configuration = std::move(configuration);
  }
  change.outcome.base_configuration = present;
  change.outcome.is_history_expired = answer.history_expired;
  // Without the history, it is unknown whether the first attempt took effect,
  // so nothing is written.
  return answer.history_expired;
}

}  // namespace

auto MakeObjectStore(PlatformClient& client) -> ObjectStore {
  return ObjectStore{
      .get = [&client](
                 const auto& kind,
                 const auto& name) { return client.ReadObject(kind, name); },
      .put =
          [&client](const auto& kind, const auto& name, auto if_version,
                    const auto& operation, const auto& value) {
            return client.WriteObject(kind, name, if_version, operation, value);
          },
      .watch =
          [&client](const auto& kind, auto from, auto timeout) {
            return client.WatchObjects(kind, from, timeout);
          },
      .wait = [](auto time) { std::this_thread::sleep_for(time); },
  };
}

auto ReadConfiguration(const ObjectStore& store, const std::string& region)
    -> VersionedConfiguration {
  const auto object = store.get(kConfigurationKind, region);
  if (!object) {
    return VersionedConfiguration{};
  }
  return VersionedConfiguration{
      .version = object->version,
      .configuration = DecodeConfiguration(object->value)};
}

auto ChangeConfiguration(const ObjectStore& store,
                         const ChangeRequest& request,
                         const ConfigurationEdit& edit) -> ChangeOutcome {
  const auto present = store.get(kConfigurationKind, request.region);
  bool unchanged = false;
  ChangeInProgress change{.store = store, .request = request};
  change.update.options = {.operation = request.operation,
                           .author = request.author,
                           .edit =
                               [&](Configuration& configuration) {
                                 auto after = edit(configuration);
                                 unchanged = after == configuration;
                                 configuration = std::move(after);
                               },
                           .max_unanswered_calls = CountBackoffWaitsUntilLimit(
                               request.lookup_limit)};
  if (present) {
    change.outcome.base_configuration = DecodeConfiguration(present->value);
  }
  if (DetermineOutcomeFromEarlierAttempt(change)) {
    return change.outcome;
  }
  UpdateStep step = OnConfigurationObjectRead(
      change.update,
      present ? std::optional(StoredConfigurationObject{
                    .version = present->version, .value = present->value})
              : std::nullopt);
  change.outcome.requested_configuration =
      unchanged ? change.update.base : change.update.requested;
  if (unchanged) {
    change.outcome.state = ChangeState::kUnchanged;
    return change.outcome;
  }
  while (!std::holds_alternative<UpdateResult>(step)) {
    step = PerformUpdateStep(change, step);
  }
  RecordChangeOutcome(change, std::get<UpdateResult>(step));
  return change.outcome;
}

}  // namespace hawthornbank::transport
