#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_LINE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_LINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Reads the structured lines that EventLog writes, also from files that were
/// cut short or damaged.
///
/// Load pattern: gigabytes of lines of many nodes, of which few are of
/// interest. The header of each line is parsed, the other fields on demand.
namespace hawthornbank::transport {

/// Maximum length of a log line, in bytes. Longer lines are skipped.
inline constexpr std::size_t kMaxLogLine = 8192;

/// Why a line of a log can't be used.
enum class LogLineFault : std::uint8_t {
  kTooLong,   ///< Longer than kMaxLogLine.
  kNotText,   ///< Not UTF-8, or with control characters.
  kCut,       ///< Ends within the header or without a line end.
  kMerged,    ///< Another line begins within the line.
  kNoHeader,  ///< Doesn't begin with a time: a line of another program.
  kCount,
};

/// Number of values of LogLineFault.
inline constexpr auto kLogLineFaultCount =
    static_cast<std::size_t>(LogLineFault::kCount);

/// @param fault A fault.
/// @return Name of the fault in reports.
auto ToString(LogLineFault fault) -> std::string_view;

/// A log line; the texts refer to the parsed one.
struct LogLine {
  std::int64_t time_ms = 0;  ///< Unix time on the clock of the node's host.
  std::string_view node;
  std::string_view kind;
  std::string_view event;
  std::string_view fields;  ///< The key=value pairs after the event.
};

/// Parses a log line.
/// @param text The line without its line end. A text before the time, such as
/// the prefix of a system log, is ignored.
/// @return The line, or why it can't be used.
auto ParseLogLine(std::string_view text) -> std::variant<LogLine, LogLineFault>;

/// @param line A log line.
/// @param key Key of a field.
/// @return Value of the field without quotation marks; empty if the line has no
/// such field.
auto FindField(const LogLine& line, std::string_view key) -> std::string_view;

/// @param line A log line.
/// @param key Key of a field.
/// @return Value of the field, or nothing unless it is a decimal integer.
auto FindNumber(const LogLine& line, std::string_view key)
    -> std::optional<std::int64_t>;

/// Splits bytes of a file into lines, in bounded memory.
class LogLineSplitter {
 public:
  /// Receives each line that isn't blank: its text without the line end, or the
  /// fault of a line that is too long or has no end.
  using Handler = std::function<void(std::string_view text,
                                     std::optional<LogLineFault> fault)>;

  /// @param on_line Receives the lines.
  explicit LogLineSplitter(Handler on_line);

  /// @param bytes The next bytes of the file.
  auto AppendBytes(std::string_view bytes) -> void;

  /// Ends the file; a last line without an end is cut.
  auto EndFile() -> void;

 private:
  auto AppendToLine(std::string_view bytes) -> void;
  auto EndLine() -> void;

  Handler on_line_;
  std::string line_;
  bool is_too_long_ = false;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_LINE_H_
