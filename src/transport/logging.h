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
/// Structured log lines on standard error, with a logger and a level for each
/// layer. Lines contain ids and reasons, never payloads.
namespace hawthornbank::transport {

/// The layers of the software, each with its own logger.
enum class Layer : std::uint8_t {
  kTransport,
  kProtocol,
  kCoordination,
  kState
};

/// Number of layers.
inline constexpr std::size_t kLayerCount = 4;

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// One key and value of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

/// Starts logging. A second call replaces the level and the layout.
/// @param level "trace", "debug", "info", "warn" or "error".
/// @param layout "text" (key=value) or "json" (one object per line).
/// @throws Error kInvalidSettings for any other level or layout.
auto InitialiseLogging(const std::string& level, const std::string& layout)
    -> void;

/// Changes the log level of one layer while the process runs.
/// @param layer "transport", "protocol", "coordination" or "state".
/// @param level "trace", "debug", "info", "warn" or "error".
/// @throws Error kInvalidSettings for any other layer or level.
auto SetLogLevel(const std::string& layer, const std::string& level) -> void;

/// Checks whether a layer writes lines of a severity.
/// @param layer The layer.
/// @param level The severity.
/// @return Whether a line of this layer and severity would be written.
auto IsLogLevelEnabled(Layer layer, LogLevel level) -> bool;

/// Writes one line.
/// @param layer Layer whose logger writes the line.
/// @param level Severity of the line.
/// @param event Name of the event in snake_case.
/// @param fields Keys and values, such as a reason and ids.
auto LogEvent(Layer layer,
              LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields = {}) -> void;

/// Rate limit on the log lines that a flood of packets could cause. Each call
/// site has its own limit.
struct LogRateLimit {
  std::uint32_t lines_per_window = 10;
  Duration window = std::chrono::seconds{1};
  TimePoint window_start{};
  std::uint32_t lines = 0;       ///< Lines written in this window.
  std::uint64_t suppressed = 0;  ///< Lines omitted since the last written.
  std::mutex mutex;              ///< Guards all other members; locked last.
};

/// Decision of a rate limit on a log line.
struct LogRateDecision {
  bool allowed = false;
  std::uint64_t suppressed = 0;  ///< Lines omitted since the last written.
};

/// Counts a line against its rate limit.
/// @param limit The rate limit of the call site.
/// @param now Current time.
/// @return Whether to write the line, and how many lines were left out since
/// the last written line.
auto CountLineAgainstRateLimit(LogRateLimit& limit, TimePoint now)
    -> LogRateDecision;

/// Writes one line unless its rate limit is reached. The next line that is
/// written has the number of lines left out in its field "suppressed".
/// @param limit The rate limit of the call site.
/// @param now Current time.
/// @param layer Layer whose logger writes the line.
/// @param level Severity of the line.
/// @param event Name of the event in snake_case.
/// @param fields Keys and values, such as a reason and ids.
auto LogWithRateLimit(LogRateLimit& limit,
                      TimePoint now,
                      Layer layer,
                      LogLevel level,
                      std::string_view event,
                      std::vector<LogField> fields = {}) -> void;

namespace detail {

/// Formats a line of the text layout.
/// @param event Name of the event.
/// @param fields Keys and values, such as a reason and ids.
/// @return "event=... key=value ...". Values that are empty or contain blanks,
/// control characters, quotes, "=" or backslashes are quoted.
auto FormatTextLogLine(std::string_view event,
                       const std::vector<LogField>& fields) -> std::string;

/// Formats a line of the JSON layout.
/// @param event Name of the event.
/// @param fields Keys and values, such as a reason and ids.
/// @return Members of a JSON object, without its braces.
auto FormatJsonMembers(std::string_view event,
                       const std::vector<LogField>& fields) -> std::string;

}  // namespace detail
}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_LOGGING_H_
