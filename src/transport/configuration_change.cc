#include "transport/configuration_change.h"

#include <algorithm>
#include <thread>

#include "hawthornbank/error.h"

namespace hawthornbank::transport {
namespace {

constexpr auto kKind = "configuration";
constexpr std::chrono::milliseconds kFirstWait{50};
constexpr std::chrono::milliseconds kLongestWait{1000};

/// Searches the changes after a version for an operation.
/// @return Whether it took effect; nothing when the history doesn't tell.
auto FindInHistory(const ObjectStore& store,
                   const ChangeRequest& request,
                   std::uint64_t from,
                   Generation generation) -> std::optional<bool> {
  const WatchResult history =
      store.watch(kKind, from, std::chrono::milliseconds{0});
  for (const auto& it : history.objects) {
    if (it.name != request.region) {
      continue;
    }
    const Configuration configuration = DecodeConfiguration(it.value);
    if (configuration.operation == request.operation) {
      return true;
    }
    if (configuration.generation == generation) {
      return false;
    }
  }
  return std::nullopt;
}

/// Asks once whether a write took effect.
/// @return True when the outcome is settled.
auto LookUpOnce(const ObjectStore& store,
                const ChangeRequest& request,
                std::uint64_t base_version,
                ChangeOutcome& outcome) -> bool {
  const auto now = ReadConfiguration(store, request.region);
  outcome.seen_unchanged = now.version == base_version;
  if (outcome.seen_unchanged) {
    return false;  // It may still be on its way.
  }
  outcome.winner = now.configuration;
  if (now.configuration.operation == request.operation) {
    outcome.state = ChangeState::kAccepted;
    return true;
  }
  const auto found = now.configuration.generation == outcome.after.generation
                         ? std::optional<bool>(false)
                         : FindInHistory(store, request, base_version,
                                         outcome.after.generation);
  if (found) {
    outcome.state = *found ? ChangeState::kAccepted : ChangeState::kLost;
  }
  return found.has_value();
}

/// Asks until the outcome is settled or the time is over.
auto LookUp(const ObjectStore& store,
            const ChangeRequest& request,
            std::uint64_t base_version,
            ChangeOutcome& outcome) -> void {
  outcome.looked_up = true;
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds wait = kFirstWait;
  while (true) {
    try {
      if (LookUpOnce(store, request, base_version, outcome)) {
        return;
      }
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kPlatformUnavailable) {
        throw;
      }
    }
    if (waited >= request.lookup_limit) {
      return;
    }
    store.wait(wait);
    waited += wait;
    wait = std::min(2 * wait, kLongestWait);
  }
}

auto Write(const ObjectStore& store,
           const ChangeRequest& request,
           std::uint64_t version,
           ChangeOutcome& outcome) -> void {
  try {
    store.put(kKind, request.region, version, request.operation,
              EncodeConfiguration(outcome.after));
    outcome.state = ChangeState::kAccepted;
  } catch (const Error& error) {
    if (error.kind() != ErrorKind::kConflict &&
        error.kind() != ErrorKind::kPlatformUnavailable) {
      throw;
    }
    if (error.kind() == ErrorKind::kPlatformUnavailable) {
      LookUp(store, request, version, outcome);
      return;
    }
    outcome.state = ChangeState::kLost;
    outcome.winner = ReadConfiguration(store, request.region).configuration;
  }
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
  const auto base = ReadConfiguration(store, request.region);
  ChangeOutcome outcome{.before = base.configuration};
  if (base.configuration.operation == request.operation) {
    outcome.state = ChangeState::kAccepted;
    outcome.after = base.configuration;
    return outcome;
  }
  outcome.after = edit(base.configuration);
  if (outcome.after == base.configuration) {
    outcome.state = ChangeState::kUnchanged;
    return outcome;
  }
  outcome.after.generation =
      Generation{ToInteger(base.configuration.generation) + 1};
  outcome.after.operation = request.operation;
  outcome.after.author = request.author;
  Write(store, request, base.version, outcome);
  return outcome;
}

}  // namespace hawthornbank::transport
