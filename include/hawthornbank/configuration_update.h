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
/// One change of the configuration, accepted at most once.
///
/// The caller makes the platform call that a function returns and passes the
/// answer to the next function, until UpdateDone comes back.
namespace hawthornbank {

/// What is to be changed, by whom.
struct ConfigurationUpdateOptions {
  std::string operation;  ///< Unique to this change.
  std::string author;
  std::function<void(Configuration&)> edit;
  int max_unknown_answers = 5;  ///< Lost answers after which it gives up.
};

/// Read the configuration object.
struct UpdateRead {};

/// Write the object if it still has the version given.
struct UpdateWrite {
  std::uint64_t if_version = 0;
  std::string operation;
  std::string value;
};

/// Read all changes of the object after a version, without waiting.
struct UpdateReadBack {
  std::uint64_t from = 0;
};

/// How a change ended.
enum class UpdateOutcome : std::uint8_t {
  kAccepted,
  kConflict,  ///< Another change won; this one had no effect.
  kUnknown,   ///< The platform did not say; it may have taken effect.
};

/// The end of a change.
struct UpdateDone {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  Configuration configuration;  ///< Accepted, or the winner's; generation
                                ///< 0 when the winner's can't be read.
  std::string value;            ///< The accepted value, as JSON.
  std::vector<std::string> winner_changes;  ///< What the winner changed.
};

using UpdateStep =
    std::variant<UpdateRead, UpdateWrite, UpdateReadBack, UpdateDone>;

/// The object as read; nothing when it does not exist.
struct UpdateObject {
  std::uint64_t version = 0;
  std::string value;
};

/// Answer to a write.
enum class UpdateWritten : std::uint8_t { kAccepted, kConflict, kUnknown };

/// Answer to a read back.
struct UpdateHistory {
  bool reached = false;  ///< Whether there was an answer.
  bool gone = false;     ///< The platform no longer keeps that far back.
  std::vector<UpdateObject> changes;  ///< Oldest first.
};

/// State of a change.
struct ConfigurationUpdate {
  ConfigurationUpdateOptions options;
  Configuration base;
  Configuration wanted;
  UpdateWrite write;
  bool may_have_written = false;  ///< An answer to a write was lost.
  int unknown_answers = 0;
};

/// Prepares a change from what is stored.
/// @param update State.
/// @param present The object as read; nothing when there is none.
/// @return The write to make.
/// @throws Error kMalformed when the stored value can't be decoded, and
///     whatever the edit throws; nothing has been written then.
auto OnUpdateRead(ConfigurationUpdate& update,
                  const std::optional<UpdateObject>& present) -> UpdateStep;

/// Takes the answer to the write.
/// @param update State.
/// @param answer What came.
/// @return The next step: done, or a read back.
auto OnUpdateWritten(ConfigurationUpdate& update, UpdateWritten answer)
    -> UpdateStep;

/// Takes the changes that were made since the read.
/// @param update State.
/// @param history What came.
/// @return The next step: done, the same write again, or a read back.
auto OnUpdateReadBack(ConfigurationUpdate& update, const UpdateHistory& history)
    -> UpdateStep;

/// Names the differences between two configurations.
/// @param before Older one.
/// @param after Newer one.
/// @return A line for each difference, as
///     "~ service fitquote: weight 100 -> 50".
auto DescribeChanges(const Configuration& before, const Configuration& after)
    -> std::vector<std::string>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_UPDATE_H_
