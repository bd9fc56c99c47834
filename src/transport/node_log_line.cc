#include "transport/node_log_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "protocol/sheet_cells.h"

namespace hawthornbank::transport {
namespace {

constexpr std::array<std::string_view, kLogLineFaultCount> kFaultNames = {
    "too long", "not text", "cut", "merged with another", "without a time",
};
static_assert(!kFaultNames.back().empty());

// The end of the year 9999, in Unix milliseconds.
constexpr std::int64_t kMaxTimeMs = 253'402'300'799'999;
constexpr std::string_view kTimeKey = "t=";
constexpr std::string_view kNodeKey = "node=";

auto IsPlainText(std::string_view text) -> bool {
  constexpr unsigned char kDelete = 0x7F;
  bool is_ascii = true;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if ((byte < ' ' && it != '\t') || byte == kDelete) {
      return false;
    }
    is_ascii = is_ascii && byte < kDelete;
  }
  return is_ascii || IsUtf8WithoutNul(std::string(text));
}

auto ParseNumber(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc{} && rest == end && !text.empty()
             ? std::optional(value)
             : std::nullopt;
}

// Removes the first word of a text and returns it.
auto TakeWord(std::string_view& text) -> std::string_view {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const auto size = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, size);
  text.remove_prefix(size);
  return word;
}

// Removes the first word if it is `key` with a value. Returns the value, or
// nothing.
auto TakeValue(std::string_view& text, std::string_view key)
    -> std::string_view {
  std::string_view rest = text;
  const std::string_view word = TakeWord(rest);
  if (!word.starts_with(key)) {
    return {};
  }
  text = rest;
  return word.substr(key.size());
}

// Returns where the first word that begins with `key` begins, or npos.
auto FindWord(std::string_view text, std::string_view key) -> std::size_t {
  for (auto at = text.find(key); at != std::string_view::npos;
       at = text.find(key, at + 1)) {
    if (at == 0 || text[at - 1] == ' ') {
      return at;
    }
  }
  return std::string_view::npos;
}

// Returns the length of a value in quotation marks, without them. The value may
// contain quotation marks that no blank follows.
auto CountQuotedBytes(std::string_view text) -> std::size_t {
  for (auto at = text.find('"'); at != std::string_view::npos;
       at = text.find('"', at + 1)) {
    if (at + 1 == text.size() || text[at + 1] == ' ') {
      return at;
    }
  }
  return text.size();
}

}  // namespace

auto ToString(LogLineFault fault) -> std::string_view {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

auto ParseLogLine(std::string_view text)
    -> std::variant<LogLine, LogLineFault> {
  if (text.size() > kMaxLogLine) {
    return LogLineFault::kTooLong;
  }
  if (!IsPlainText(text)) {
    return LogLineFault::kNotText;
  }
  const auto start = FindWord(text, kTimeKey);
  if (start == std::string_view::npos) {
    return LogLineFault::kNoHeader;
  }
  std::string_view rest = text.substr(start);
  LogLine line;
  const auto time = ParseNumber(TakeValue(rest, kTimeKey));
  if (!time.has_value() || *time < 0 || *time > kMaxTimeMs) {
    return start == 0 ? LogLineFault::kCut : LogLineFault::kNoHeader;
  }
  line.time_ms = *time;
  line.node = TakeValue(rest, kNodeKey);
  line.kind = TakeValue(rest, "kind=");
  line.event = TakeValue(rest, "event=");
  if (line.node.empty() || line.kind.empty() || line.event.empty()) {
    return LogLineFault::kCut;
  }
  line.fields = rest;
  if (FindWord(rest, kNodeKey) != std::string_view::npos) {
    return LogLineFault::kMerged;
  }
  return line;
}

auto FindField(const LogLine& line, std::string_view key) -> std::string_view {
  std::string_view rest = line.fields;
  while (!rest.empty()) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto equals = rest.find_first_of("= ");
    if (equals == std::string_view::npos) {
      return {};
    }
    if (rest[equals] == ' ') {  // A further word of a text without marks.
      rest.remove_prefix(equals);
      continue;
    }
    const bool is_wanted = rest.substr(0, equals) == key;
    rest.remove_prefix(equals + 1);
    const bool is_quoted = rest.starts_with('"');
    rest.remove_prefix(is_quoted ? 1 : 0);
    const auto size = is_quoted ? CountQuotedBytes(rest)
                                : std::min(rest.find(' '), rest.size());
    if (is_wanted) {
      return rest.substr(0, size);
    }
    rest.remove_prefix(std::min(size + (is_quoted ? 1 : 0), rest.size()));
  }
  return {};
}

auto FindNumber(const LogLine& line, std::string_view key)
    -> std::optional<std::int64_t> {
  return ParseNumber(FindField(line, key));
}

LogLineSplitter::LogLineSplitter(Handler on_line)
    : on_line_(std::move(on_line)) {}

auto LogLineSplitter::AppendBytes(std::string_view bytes) -> void {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    AppendToLine(bytes.substr(0, end));
    if (end == std::string_view::npos) {
      return;
    }
    EndLine();
    bytes.remove_prefix(end + 1);
  }
}

auto LogLineSplitter::EndFile() -> void {
  if (!line_.empty() || is_too_long_) {
    on_line_({}, is_too_long_ ? LogLineFault::kTooLong : LogLineFault::kCut);
  }
  line_.clear();
  is_too_long_ = false;
}

auto LogLineSplitter::AppendToLine(std::string_view bytes) -> void {
  // One byte more, as a line may end with a carriage return.
  is_too_long_ = is_too_long_ || line_.size() + bytes.size() > kMaxLogLine + 1;
  if (!is_too_long_) {
    line_.append(bytes);
  }
}

auto LogLineSplitter::EndLine() -> void {
  if (line_.ends_with('\r')) {
    line_.pop_back();
  }
  if (is_too_long_) {
    on_line_({}, LogLineFault::kTooLong);
  } else if (line_.find_first_not_of(" \t") != std::string::npos) {
    on_line_(line_, std::nullopt);
  }
  line_.clear();
  is_too_long_ = false;
}

}  // namespace hawthornbank::transport
