#ifndef HAWTHORNBANK_ERROR_H_
#define HAWTHORNBANK_ERROR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

/// @file
/// Error kinds, and a table with the reply and exit code for each error kind.
namespace hawthornbank {

/// Reason for which a request or an operation is refused or fails.
enum class ErrorKind : std::uint8_t {
  kMalformed,            ///< The input can't be decoded.
  kTooLarge,             ///< The input exceeds a size limit.
  kUnknownService,       ///< No service or other object has this name.
  kUnknownRequest,       ///< No pending request matches a cancellation.
  kDeadlineExpired,      ///< Not run: the deadline can't be met any more.
  kOverloaded,           ///< Not run: a limit was reached.
  kDraining,             ///< Not run: the target takes no new requests.
  kUnhealthy,            ///< Not run: requests to the target are failing.
  kTokenRequired,        ///< A non-idempotent request needs a fresh token.
  kCancelled,            ///< Not run: the caller cancelled the request.
  kFailed,               ///< The request ran; the target reported a failure.
  kOutcomeUnknown,       ///< The request may have run; no outcome is known.
  kUnauthenticated,      ///< Digest missing, forged, replayed or too old.
  kFenced,               ///< The lease epoch or generation is superseded.
  kConflict,             ///< A conditional update lost to a concurrent one.
  kPlatformUnavailable,  ///< The platform's object API does not answer.
  kInvalidSettings,      ///< Settings, sheet or command line are invalid.
  kInternal,             ///< A defect in this program.
};

/// Number of error kinds.
inline constexpr std::size_t kErrorKindCount = 18;

/// Whether a request that got an error was executed.
enum class Execution : std::uint8_t { kNotRun, kRan, kUnknown };

/// Reply to the caller and exit code for an error kind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;     ///< Name in logs, metrics and messages.
  std::uint8_t coap_class;   ///< Class of the CoAP response code.
  std::uint8_t coap_detail;  ///< Detail of the CoAP response code.
  Execution execution;       ///< Whether the request ran.
  bool retryable;            ///< Whether a retry after Max-Age is allowed.
  int exit_code;             ///< Exit code of the command-line programs.
};

/// Reply and exit code of each error kind, in the order of ErrorKind.
inline constexpr std::array<ErrorAnswer, kErrorKindCount> kErrorAnswers = {{
    {ErrorKind::kMalformed, "malformed", 4, 0, Execution::kNotRun, false, 2},
    {ErrorKind::kTooLarge, "too_large", 4, 13, Execution::kNotRun, false, 2},
    {ErrorKind::kUnknownService, "unknown_service", 4, 4, Execution::kNotRun,
     false, 3},
    {ErrorKind::kUnknownRequest, "unknown_request", 4, 8, Execution::kNotRun,
     false, 3},
    {ErrorKind::kDeadlineExpired, "deadline_expired", 5, 4, Execution::kNotRun,
     false, 4},
    {ErrorKind::kOverloaded, "overloaded", 5, 3, Execution::kNotRun, true, 4},
    {ErrorKind::kDraining, "draining", 5, 3, Execution::kNotRun, true, 4},
    {ErrorKind::kUnhealthy, "unhealthy", 5, 3, Execution::kNotRun, true, 4},
    {ErrorKind::kTokenRequired, "token_required", 4, 1, Execution::kNotRun,
     false, 3},
    {ErrorKind::kCancelled, "cancelled", 5, 3, Execution::kNotRun, false, 4},
    {ErrorKind::kFailed, "failed", 5, 0, Execution::kRan, false, 5},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 5, 2, Execution::kUnknown,
     false, 6},
    {ErrorKind::kUnauthenticated, "unauthenticated", 4, 3, Execution::kNotRun,
     false, 3},
    {ErrorKind::kFenced, "fenced", 4, 12, Execution::kNotRun, false, 7},
    {ErrorKind::kConflict, "conflict", 4, 9, Execution::kNotRun, false, 7},
    {ErrorKind::kPlatformUnavailable, "platform_unavailable", 5, 3,
     Execution::kUnknown, true, 8},
    {ErrorKind::kInvalidSettings, "invalid_settings", 4, 0, Execution::kNotRun,
     false, 2},
    {ErrorKind::kInternal, "internal", 5, 0, Execution::kUnknown, false, 70},
}};

namespace detail {

/// @return Whether row n of kErrorAnswers describes error kind n, for every n.
constexpr auto IsErrorTableOrdered() -> bool {
  for (std::size_t n = 0; n < kErrorAnswers.size(); ++n) {
    if (static_cast<std::size_t>(kErrorAnswers[n].kind) != n) {
      return false;
    }
  }
  return true;
}
static_assert(IsErrorTableOrdered());

}  // namespace detail

/// Looks up the reply and the exit code for an error kind.
/// @param kind Any error kind.
/// @return The row of kErrorAnswers for that kind.
constexpr auto LookUpErrorAnswer(ErrorKind kind) -> const ErrorAnswer& {
  return kErrorAnswers[static_cast<std::size_t>(kind)];
}

/// Exception that carries an error kind and a human-readable message.
class Error : public std::runtime_error {
 public:
  /// @param kind The error kind.
  /// @param message What failed, and on which object.
  Error(ErrorKind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}

  /// @return The error kind.
  [[nodiscard]] auto kind() const noexcept -> ErrorKind { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ERROR_H_
