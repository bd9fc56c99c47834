#ifndef HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_CHANGE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_CHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hawthornbank/configuration.h"
#include "transport/platform_client.h"

/// @file
/// Carries out a change of the configuration with calls to the platform. The
/// logic of the change is in hawthornbank/configuration_update.h.
namespace hawthornbank::transport {

/// The functions of PlatformClient that a change calls.
struct ObjectStore {
  std::function<std::optional<PlatformObject>(const std::string& kind,
                                              const std::string& name)>
      get;
  std::function<std::uint64_t(const std::string& kind,
                              const std::string& name,
                              std::uint64_t if_version,
                              const std::string& operation,
                              const std::string& value)>
      put;
  std::function<WatchResult(const std::string& kind,
                            std::uint64_t from,
                            std::chrono::milliseconds timeout)>
      watch;
  std::function<void(std::chrono::milliseconds)>
      wait;  ///< Waits between lookups.
};

/// Builds an object store that calls a platform client.
/// @param client The platform's client; must outlive the store.
/// @return Functions that call the client, and a `wait` that sleeps.
auto MakeObjectStore(PlatformClient& client) -> ObjectStore;

/// A configuration and the version of its object.
struct VersionedConfiguration {
  std::uint64_t version = 0;  ///< 0 when there is no object yet.
  Configuration configuration;
};

/// Reads the configuration of a region.
/// @param store The platform.
/// @param region The region; also the name of the configuration object.
/// @return The accepted configuration; empty when there is none yet.
/// @throws Error kPlatformUnavailable, or kMalformed for an unreadable object.
auto ReadConfiguration(const ObjectStore& store, const std::string& region)
    -> VersionedConfiguration;

/// A request to change the configuration of a region. The operation id makes
/// the change idempotent.
struct ChangeRequest {
  std::string region;
  std::string author;
  std::string operation;
  bool is_retry = false;  ///< Whether an earlier attempt may have taken effect.
  /// Maximum time spent on looking up the outcome of a write whose answer was
  /// lost.
  std::chrono::milliseconds lookup_limit{5000};
};

/// How a change ended.
enum class ChangeState : std::uint8_t {
  kAccepted,        ///< The change took effect.
  kUnchanged,       ///< The edit changed nothing, so nothing was written.
  kLostRace,        ///< Another change was accepted instead of this one.
  kOutcomeUnknown,  ///< The change may or may not have taken effect.
};

/// Outcome of a change.
struct ChangeOutcome {
  ChangeState state = ChangeState::kOutcomeUnknown;
  /// Configuration on which the change was based.
  Configuration base_configuration;
  Configuration requested_configuration;
  /// For kLostRace: the configuration that was accepted instead; generation 0
  /// when it can't be read.
  Configuration winning_configuration;
  /// Whether the outcome was looked up because the answer to the write was
  /// lost.
  bool was_looked_up = false;
  /// For kOutcomeUnknown: whether the last lookup found that the change was not
  /// in effect.
  bool was_unchanged_at_last_lookup = false;
  /// Whether the platform's history no longer reaches back to the first attempt
  /// of a retry.
  bool is_history_expired = false;
};

/// Makes the requested configuration from the accepted one.
using ConfigurationEdit = std::function<Configuration(const Configuration&)>;

/// Carries out a change: reads the configuration, edits it, and writes it on
/// condition that its version is unchanged. If a write isn't answered, its
/// outcome is looked up. The write is repeated under the same condition as long
/// as the version is unchanged.
/// @param store The platform.
/// @param request Region, author and operation id of the change.
/// @param edit Makes the requested configuration; may throw to reject the
///        change.
/// @return The outcome. An operation that was already accepted is not repeated.
///         A retry whose first attempt can no longer be looked up writes
///         nothing and returns kOutcomeUnknown.
/// @throws Error kPlatformUnavailable when the configuration can't be read
///         (nothing was written), and every error that `edit` throws.
auto ChangeConfiguration(const ObjectStore& store,
                         const ChangeRequest& request,
                         const ConfigurationEdit& edit) -> ChangeOutcome;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_CHANGE_H_
