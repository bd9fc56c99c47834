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
/// Binds a change of the configuration to the platform's calls. The decisions
/// are those of hawthornbank/configuration_update.h.
namespace hawthornbank::transport {

/// The calls that a change needs, as PlatformClient has them.
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
  std::function<void(std::chrono::milliseconds)> wait;  ///< Between look-ups.
};

/// Binds a store to a client.
/// @param client The platform; must outlive the store.
/// @return Calls of the client, and a sleep.
auto StoreOf(PlatformClient& client) -> ObjectStore;

/// A configuration and the version of its object.
struct VersionedConfiguration {
  std::uint64_t version = 0;  ///< 0 when there is no object yet.
  Configuration configuration;
};

/// Reads the configuration of a region.
/// @param store The platform.
/// @param region Name of the object.
/// @return What is accepted now; empty when there is none yet.
/// @throws Error kPlatformUnavailable, or kMalformed for an unreadable object.
auto ReadConfiguration(const ObjectStore& store, const std::string& region)
    -> VersionedConfiguration;

/// Who changes what, under which operation id.
struct ChangeRequest {
  std::string region;
  std::string author;
  std::string operation;
  bool is_retry = false;  ///< An earlier try may have taken effect.
  std::chrono::milliseconds lookup_limit{5000};  ///< After a lost answer.
};

/// How a change ended.
enum class ChangeState : std::uint8_t {
  kAccepted,   ///< It took effect.
  kUnchanged,  ///< There was nothing to change; nothing was written.
  kLost,       ///< Another change was first; this one did not take effect.
  kUnknown,    ///< The platform could not be asked whether it took effect.
};

/// Outcome of a change.
struct ChangeOutcome {
  ChangeState state = ChangeState::kUnknown;
  Configuration before;         ///< What the change was based on.
  Configuration after;          ///< What was asked for.
  Configuration winner;         ///< When lost: what was accepted instead;
                                ///< generation 0 when it can't be read.
  bool looked_up = false;       ///< The answer was lost and then looked up.
  bool seen_unchanged = false;  ///< When unknown: not in effect when last seen.
  bool history_gone = false;    ///< A retry that can't be looked up any more.
};

/// Makes the wanted configuration from the accepted one.
using Edit = std::function<Configuration(const Configuration&)>;

/// Carries out a change: reads, edits, and writes on condition that nobody
/// else wrote between. A write without an answer is read back, and repeated
/// under the same condition while nothing has changed.
/// @param store The platform.
/// @param request Who changes, and the operation id.
/// @param edit Makes the wanted configuration; may throw to refuse.
/// @return The outcome. An operation that is accepted already is not repeated;
///         a retry whose first try can't be looked up any more writes nothing
///         and is kUnknown.
/// @throws Error kPlatformUnavailable when the configuration can't be read
///         (nothing was written then), and whatever edit throws.
auto ChangeConfiguration(const ObjectStore& store,
                         const ChangeRequest& request,
                         const Edit& edit) -> ChangeOutcome;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_CHANGE_H_
