#ifndef HAWTHORNBANK_CONFIGURATION_UPDATE_H_
#define HAWTHORNBANK_CONFIGURATION_UPDATE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// One update of the configuration, which the platform accepts at most once.
///
/// Each function returns the next platform call. The caller makes that call and
/// passes the answer to the matching function, until one returns UpdateResult.
namespace hawthornbank {

/// Edit to make to the configuration, and its author.
struct ConfigurationUpdateOptions {
  std::string operation;  ///< Identifier, unique to this update.
  std::string author;
  std::function<void(Configuration&)> edit;
  /// Maximum number of lost answers before the update ends.
  int max_unanswered_calls = 5;
};

/// Step: read the configuration object.
struct ReadForUpdate {};

/// Step: write the object if its version is still `if_version`.
struct WriteForUpdate {
  std::uint64_t if_version = 0;
  std::string operation;
  std::string value;
};

/// Step: read all changes of the object after a version, without waiting.
struct ReadChangesForUpdate {
  std::uint64_t from = 0;
};

/// Outcome of an update.
enum class UpdateOutcome : std::uint8_t {
  kAccepted,
  kConflict,  ///< Another update won; this one had no effect.
  kUnknown,   ///< Not known; the update may have taken effect.
};

/// Step: the update has ended with this result.
struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  Configuration configuration;  ///< Accepted or winning configuration;
                                ///< generation 0 when the winning
                                ///< configuration can't be read.
  std::string value;            ///< The accepted value, as JSON.
  std::vector<std::string> winner_changes;  ///< Changes of the winning update.
};

using UpdateStep = std::
    variant<ReadForUpdate, WriteForUpdate, ReadChangesForUpdate, UpdateResult>;

/// The configuration object as stored on the platform.
struct StoredConfigurationObject {
  std::uint64_t version = 0;
  std::string value;
};

/// Answer of the platform to a write.
enum class UpdateWriteAnswer : std::uint8_t { kAccepted, kConflict, kUnknown };

/// Answer of the platform to ReadChangesForUpdate.
struct UpdateReadBackAnswer {
  bool was_answered = false;     ///< Whether the platform answered.
  bool history_expired = false;  ///< Whether the platform no longer has the
                                 ///< changes after the requested version.
  std::vector<StoredConfigurationObject> changes;  ///< Oldest first.
};

/// State of an update.
struct ConfigurationUpdate {
  ConfigurationUpdateOptions options;
  Configuration base;
  Configuration requested;
  WriteForUpdate write;
  bool may_have_written = false;  ///< Whether an answer to a write was lost.
  int unanswered_calls = 0;
};

/// Applies the edit to the stored configuration and prepares the write.
/// @param update State of the update.
/// @param present Object as read; empty when it does not exist.
/// @return The write to make.
/// @throws Error kMalformed when the stored value can't be decoded, and any
///     exception of the edit; nothing has been written in either case.
auto OnConfigurationObjectRead(
    ConfigurationUpdate& update,
    const std::optional<StoredConfigurationObject>& present) -> UpdateStep;

/// Handles the answer to the write.
/// @param update State of the update.
/// @param answer Answer of the platform.
/// @return Next step: UpdateResult or ReadChangesForUpdate.
auto OnUpdateWriteAnswered(ConfigurationUpdate& update,
                           UpdateWriteAnswer answer) -> UpdateStep;

/// Handles the answer to ReadChangesForUpdate.
/// @param update State of the update.
/// @param history Answer of the platform.
/// @return Next step: UpdateResult, the same write again, or
/// ReadChangesForUpdate.
auto OnUpdateHistoryRead(ConfigurationUpdate& update,
                         const UpdateReadBackAnswer& history) -> UpdateStep;

/// Describes the differences between two configurations.
/// @param before Older configuration.
/// @param after Newer configuration.
/// @return One line for each difference, such as
///     "~ service fitquote: weight 100 -> 50".
auto DescribeConfigurationChanges(const Configuration& before,
                                  const Configuration& after)
    -> std::vector<std::string>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_UPDATE_H_
