#include "transport/configuration_change.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "hawthornbank/configuration_update.h"
#include "hawthornbank/error.h"

namespace hawthornbank::transport {
namespace {

constexpr auto kKind = "configuration";
constexpr std::chrono::milliseconds kFirstWait{50};
constexpr std::chrono::milliseconds kLongestWait{1000};

/// A change on its way.
struct Driver {
  const ObjectStore& store;
  const ChangeRequest& request;
  ConfigurationUpdate update;
  ChangeOutcome outcome;
  std::chrono::milliseconds wait = kFirstWait;
  int waits = 0;
};

/// @return How many waits reach a limit together.
auto CountWaits(std::chrono::milliseconds limit) -> int {
  int n = 1;
  std::chrono::milliseconds wait = kFirstWait;
  for (auto waited = wait; waited < limit; waited += wait) {
    wait = std::min(2 * wait, kLongestWait);
    ++n;
  }
  return n;
}

/// @return The history as far as the newest value tells it.
auto HistoryFromPresent(const Driver& driver) -> UpdateHistory {
  const auto present = driver.store.get(kKind, driver.request.region);
  const std::uint64_t version = present ? present->version : 0;
  if (version == driver.update.write.if_version) {
    return UpdateHistory{.reached = true, .gone = false, .changes = {}};
  }
  UpdateHistory history{.reached = true, .gone = true, .changes = {}};
  if (present) {
    // Generations grow by one, so that the next one is the only change.
    history.gone = DecodeConfiguration(present->value).generation !=
                   driver.update.wanted.generation;
    history.changes.push_back(
        UpdateObject{.version = version, .value = present->value});
  }
  return history;
}

auto HistoryFrom(const WatchResult& result, const std::string& region)
    -> UpdateHistory {
  UpdateHistory history{.reached = true, .gone = result.gone, .changes = {}};
  for (const auto& it : result.objects) {
    if (it.name == region) {
      history.changes.push_back(
          UpdateObject{.version = it.version, .value = it.value});
    }
  }
  return history;
}

auto ReadHistory(const Driver& driver, std::uint64_t from) -> UpdateHistory {
  try {
    const auto result =
        driver.store.watch(kKind, from, std::chrono::milliseconds{0});
    return result.gone ? HistoryFromPresent(driver)
                       : HistoryFrom(result, driver.request.region);
  } catch (const Error& error) {
    if (error.kind() != ErrorKind::kPlatformUnavailable) {
      throw;
    }
    return UpdateHistory{};
  }
}

auto Write(Driver& driver, const UpdateWrite& write) -> UpdateWritten {
  try {
    driver.store.put(kKind, driver.request.region, write.if_version,
                     write.operation, write.value);
    return UpdateWritten::kAccepted;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      return UpdateWritten::kConflict;
    }
    if (error.kind() != ErrorKind::kPlatformUnavailable) {
      throw;
    }
    driver.outcome.looked_up = true;
    return UpdateWritten::kUnknown;
  }
}

/// Waits after an answer that said nothing.
auto WaitIfUnknown(Driver& driver) -> void {
  if (driver.waits == driver.update.unknown_answers) {
    return;
  }
  driver.waits = driver.update.unknown_answers;
  driver.store.wait(driver.wait);
  driver.wait = std::min(2 * driver.wait, kLongestWait);
}

auto Perform(Driver& driver, const UpdateStep& step) -> UpdateStep {
  if (const auto* write = std::get_if<UpdateWrite>(&step)) {
    return OnUpdateWritten(driver.update, Write(driver, *write));
  }
  WaitIfUnknown(driver);
  const auto history = ReadHistory(driver, std::get<UpdateReadBack>(step).from);
  if (history.reached) {
    driver.outcome.seen_unchanged = history.changes.empty() && !history.gone;
  }
  return OnUpdateReadBack(driver.update, history);
}

/// The newest value stands for a winner that the history doesn't name.
auto ReadWinner(const Driver& driver) -> Configuration {
  try {
    return ReadConfiguration(driver.store, driver.request.region).configuration;
  } catch (const Error&) {
    return Configuration{};
  }
}

auto Finish(Driver& driver, const UpdateDone& done) -> void {
  switch (done.outcome) {
    case UpdateOutcome::kAccepted:
      driver.outcome.state = ChangeState::kAccepted;
      break;
    case UpdateOutcome::kConflict:
      driver.outcome.state = ChangeState::kLost;
      driver.outcome.winner = done.configuration.generation == Generation{}
                                  ? ReadWinner(driver)
                                  : done.configuration;
      break;
    case UpdateOutcome::kUnknown:
      driver.outcome.state = ChangeState::kUnknown;
      break;
  }
}

/// Looks for an earlier try of the operation.
/// @return Whether the outcome is settled by it.
auto FindEarlierTry(Driver& driver) -> bool {
  const Configuration present = driver.outcome.before;
  if (present.operation == driver.request.operation) {
    driver.outcome.state = ChangeState::kAccepted;
    driver.outcome.after = present;
    return true;
  }
  if (!driver.request.is_retry) {
    return false;
  }
  const auto result =
      driver.store.watch(kKind, 0, std::chrono::milliseconds{0});
  const auto history = HistoryFrom(result, driver.request.region);
  for (const auto& it : history.changes) {
    auto configuration = DecodeConfiguration(it.value);
    if (configuration.operation == driver.request.operation) {
      driver.outcome.state = ChangeState::kAccepted;
      driver.outcome.after = std::move(configuration);
      return true;
    }
    driver.outcome.before = std::move(configuration);
  }
  driver.outcome.before = present;
  driver.outcome.history_gone = history.gone;
  return history.gone;  // Nobody can tell then, so nothing is written.
}

}  // namespace

auto StoreOf(PlatformClient& client) -> ObjectStore {
  return ObjectStore{
      .get = [&client](const auto& kind,
                       const auto& name) { return client.Get(kind, name); },
      .put =
          [&client](const auto& kind, const auto& name, auto if_version,
                    const auto& operation, const auto& value) {
            return client.Put(kind, name, if_version, operation, value);
          },
      .watch = [&client](
                   const auto& kind, auto from,
                   auto timeout) { return client.Watch(kind, from, timeout); },
      .wait = [](auto time) { std::this_thread::sleep_for(time); },
  };
}

auto ReadConfiguration(const ObjectStore& store, const std::string& region)
    -> VersionedConfiguration {
  const auto object = store.get(kKind, region);
  if (!object) {
    return VersionedConfiguration{};
  }
  return VersionedConfiguration{
      .version = object->version,
      .configuration = DecodeConfiguration(object->value)};
}

auto ChangeConfiguration(const ObjectStore& store,
                         const ChangeRequest& request,
                         const Edit& edit) -> ChangeOutcome {
  const auto present = store.get(kKind, request.region);
  bool unchanged = false;
  Driver driver{.store = store, .request = request};
  driver.update.options = {
      .operation = request.operation,
      .author = request.author,
      .edit =
          [&](Configuration& configuration) {
            auto after = edit(configuration);
            unchanged = after == configuration;
            configuration = std::move(after);
          },
      .max_unknown_answers = CountWaits(request.lookup_limit)};
  if (present) {
    driver.outcome.before = DecodeConfiguration(present->value);
  }
  if (FindEarlierTry(driver)) {
    return driver.outcome;
  }
  UpdateStep step = OnUpdateRead(
      driver.update,
      present ? std::optional(UpdateObject{.version = present->version,
                                           .value = present->value})
              : std::nullopt);
  driver.outcome.after = unchanged ? driver.update.base : driver.update.wanted;
  if (unchanged) {
    driver.outcome.state = ChangeState::kUnchanged;
    return driver.outcome;
  }
  while (!std::holds_alternative<UpdateDone>(step)) {
    step = Perform(driver, step);
  }
  Finish(driver, std::get<UpdateDone>(step));
  return driver.outcome;
}

}  // namespace hawthornbank::transport
