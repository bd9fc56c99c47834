#include "transport/ini_lines.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <sstream>

namespace hawthornbank::transport {
namespace {

/// Input and output of one pass of the INI library.
struct ParserState {
  const std::vector<std::string>* lines = nullptr;
  std::size_t next = 0;
  std::vector<IniEntry> entries;
};

auto ReadNextLine(char* buf, int size, void* stream) -> char* {
  auto* const state = static_cast<ParserState*>(stream);
  if (state->next == state->lines->size()) {
    return nullptr;
  }
  const std::string& line = (*state->lines)[state->next++];
  const auto n = std::min(line.size(), static_cast<std::size_t>(size) - 1);
  std::memcpy(buf, line.data(), n);
  buf[n] = '\0';
  return buf;
}

auto AddIniEntry(void* user,
                 const char* section,
                 const char* key,
                 const char* value) -> int {
  constexpr int kAccepted = 1;
  auto* const state = static_cast<ParserState*>(user);
  const std::string& line = (*state->lines)[state->next - 1];
  const bool continues = !state->entries.empty() && !line.empty() &&
                         (line[0] == ' ' || line[0] == '\t') &&
                         state->entries.back().section == section &&
                         state->entries.back().key == key;
  if (continues) {
    state->entries.back().value += std::string(" ") + value;
    return kAccepted;
  }
  state->entries.push_back(IniEntry{.line = static_cast<int>(state->next),
                                    .section = section,
                                    .key = key,
                                    .value = value});
  return kAccepted;
}

auto SplitTextIntoLines(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Blanks lines that the INI library would split or truncate, and reports them
/// as faults.
auto BlankUnreadableLines(std::vector<std::string>& lines, IniLines& result)
    -> void {
  const auto limit = static_cast<std::size_t>(ini_max_line) - 3;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    if (lines[n].size() <= limit && lines[n].find('\0') == std::string::npos) {
      continue;
    }
    const bool long_line = lines[n].size() > limit;
    result.faults.push_back(IniFault{
        .line = static_cast<int>(n) + 1,
        .reason = long_line
                      ? "the line is longer than " + std::to_string(limit) +
                            " characters; continue it on an indented line"
                      : "the line contains a NUL character"});
    lines[n].clear();
  }
}

}  // namespace

auto ParseIniLines(const std::string& text) -> IniLines {
  IniLines result;
  std::vector<std::string> lines = SplitTextIntoLines(text);
  BlankUnreadableLines(lines, result);
  while (true) {
    ParserState state{.lines = &lines};
    const int line =
        ini_parse_stream(ReadNextLine, &state, AddIniEntry, &state);
    if (line <= 0) {
      result.entries = std::move(state.entries);
      return result;
    }
    // The library reports only the first bad line, so this line is blanked and
    // the text is parsed again.
    result.faults.push_back(IniFault{
        .line = line, .reason = "neither a [section] nor a key = value"});
    lines[static_cast<std::size_t>(line) - 1].clear();
  }
}

}  // namespace hawthornbank::transport
