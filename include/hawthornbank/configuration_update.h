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
/// One update of the configuration, which takes effect at most once.
///
/// The On... functions return the next step. The user of the functions makes
/// the platform call of that step and passes the answer to the matching
/// function, until a function returns UpdateResult.
namespace hawthornbank {

/// The edit of an update, the author and the limit of lost answers.
struct ConfigurationUpdateOptions {
  std::string operation;  ///< Identifier, unique to this update.
  std::string author;
  std::function<void(Configuration&)> edit;
  /// Maximum number of lost platform answers; one more ends the update.
  int max_unanswered_calls = 5;
};

/// Step: read the configuration object.
struct ReadForUpdate {};

/// Step: write the configuration object if its version is still `if_version`.
struct WriteForUpdate {
  std::uint64_t if_version = 0;
  std::string operation;
  std::string value;
};

/// Step: read all changes of the configuration object after the version `from`,
/// without waiting for further changes.
struct ReadChangesForUpdate {
  std::uint64_t from = 0;
};

/// Outcome of an update.
enum class UpdateOutcome : std::uint8_t {
  kAccepted,
  kConflict,  ///< Another update was written first; this one had no effect.
  kUnknown,   ///< The update may or may not have taken effect.
};

/// Step: the update has ended with this result.
struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  /// The accepted configuration; after a conflict, the configuration of the
  /// update that was written first, or generation 0 if that can't be read;
  /// after kUnknown, the requested configuration.
  Configuration configuration;
  std::string value;  ///< JSON of an accepted configuration, otherwise empty.
  /// After a conflict, the changes between the configuration that this update
  /// read and the configuration of the update that was written first.
  std::vector<std::string> winner_changes;
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
struct ReadChangesAnswer {
  bool was_answered = false;     ///< Whether the platform answered.
  bool history_expired = false;  ///< Whether the platform no longer has all
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

/// Applies the edit to the stored configuration, raises the generation by one
/// and prepares the write.
/// @param update State of the update.
/// @param stored_object The object that was read; empty if none exists.
/// @return The write to make.
/// @throws Error kMalformed or kInvalidSettings when the stored value can't be
///     decoded, and any exception of the edit; nothing has been written in
///     either case.
auto OnConfigurationObjectRead(
    ConfigurationUpdate& update,
    const std::optional<StoredConfigurationObject>& stored_object)
    -> UpdateStep;

/// Handles the answer to the write.
/// @param update State of the update.
/// @param answer Answer of the platform.
/// @return UpdateResult when the write was accepted or too many answers were
///     lost; otherwise ReadChangesForUpdate.
auto OnUpdateWriteAnswered(ConfigurationUpdate& update,
                           UpdateWriteAnswer answer) -> UpdateStep;

/// Handles the answer to ReadChangesForUpdate.
/// @param update State of the update.
/// @param answer Answer of the platform.
/// @return UpdateResult when the outcome is known or can't be found out;
///     the same WriteForUpdate again when the object has not changed;
///     ReadChangesForUpdate when the answer was lost.
/// @throws Error kMalformed or kInvalidSettings when a changed value can't be
///     decoded.
auto OnUpdateChangesRead(ConfigurationUpdate& update,
                         const ReadChangesAnswer& answer) -> UpdateStep;

/// Describes the differences that DiffConfigurations finds between two
/// configurations.
/// @param before Older configuration.
/// @param after Newer configuration.
/// @return One line for each difference, such as
///     "~ service fitquote: weight 100 -> 50".
auto DescribeConfigurationChanges(const Configuration& before,
                                  const Configuration& after)
    -> std::vector<std::string>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_UPDATE_H_
