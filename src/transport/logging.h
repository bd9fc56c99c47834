#ifndef HAWTHORNBANK_SRC_TRANSPORT_LOGGING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_LOGGING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Structured log lines on standard error, a logger and a level per layer.
/// Lines carry ids and reasons, never payloads.
namespace hawthornbank::transport {

/// The layers, each with a logger of its own.
enum class Layer : std::uint8_t {
  kTransport,
  kProtocol,
  kCoordination,
  kState
};

/// Number of layers.
inline constexpr std::size_t kLayerCount = 4;

/// Severity of a line.
enum class LogLevel : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// One key and value of a line.
struct LogField {
  std::string_view key;
  std::string value;
};

/// Starts logging; a second call replaces level and layout.
/// @param level "trace", "debug", "info", "warn" or "error".
/// @param layout "text" (key=value) or "json" (an object a line).
/// @throws Error kInvalidSettings for any other word.
auto InitLogging(const std::string& level, const std::string& layout) -> void;

/// Changes the level of one layer while the process runs.
/// @param layer "transport", "protocol", "coordination" or "state".
/// @param level As for InitLogging.
/// @throws Error kInvalidSettings for any other word.
auto SetLogLevel(const std::string& layer, const std::string& level) -> void;

/// @param layer A layer.
/// @param level A severity.
/// @return Whether such a line would be written now.
auto IsLogged(Layer layer, LogLevel level) -> bool;

/// Writes one line.
/// @param layer Whose logger writes it.
/// @param level Its severity.
/// @param event What happened, in snake_case.
/// @param fields Reason and ids.
auto Log(Layer layer,
         LogLevel level,
         std::string_view event,
         const std::vector<LogField>& fields = {}) -> void;

/// Limit on lines that a flood of packets could cause. One a call site.
struct LogLimit {
  std::uint32_t lines_per_window = 10;
  Duration window = std::chrono::seconds{1};
  TimePoint window_start{};
  std::uint32_t lines = 0;       ///< Written in this window.
  std::uint64_t suppressed = 0;  ///< Since the last line written.
  std::mutex mutex;              ///< Guards all of the above; a leaf lock.
};

/// What a limit says about a line.
struct LogPermit {
  bool allowed = false;
  std::uint64_t suppressed = 0;  ///< Lines left out since the last allowed.
};

/// Counts a line against its limit.
/// @param limit The limit of this kind of line.
/// @param now Monotonic time.
/// @return Whether to write it, and how many were left out before.
auto PermitLine(LogLimit& limit, TimePoint now) -> LogPermit;

/// Writes one line unless its limit is reached; the next line that is written
/// says in the field "suppressed" how many were left out.
/// @param limit The limit of this kind of line.
/// @param now Monotonic time.
/// @param layer As for Log.
/// @param level As for Log.
/// @param event As for Log.
/// @param fields As for Log.
auto LogLimited(LogLimit& limit,
                TimePoint now,
                Layer layer,
                LogLevel level,
                std::string_view event,
                std::vector<LogField> fields = {}) -> void;

namespace detail {

/// @param event What happened.
/// @param fields Reason and ids.
/// @return "event=... key=value ..."; values with blanks are quoted.
auto FormatText(std::string_view event, const std::vector<LogField>& fields)
    -> std::string;

/// @param event What happened.
/// @param fields Reason and ids.
/// @return Members of a JSON object, without its braces.
auto FormatJson(std::string_view event, const std::vector<LogField>& fields)
    -> std::string;

}  // namespace detail
}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_LOGGING_H_
