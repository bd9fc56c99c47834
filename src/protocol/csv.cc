#include "protocol/csv.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace hawthornbank {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

auto TrimBlanks(std::string_view text) -> std::string {
  constexpr std::string_view kBlanks = " \t\r";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return "";
  }
  return std::string(
      text.substr(first, text.find_last_not_of(kBlanks) - first + 1));
}

/// @return The separator that occurs most often outside quotes in a line.
auto DetectSeparator(std::string_view line) -> char {
  constexpr std::array<char, 3> kSeparators = {',', ';', '\t'};
  std::array<std::size_t, 3> counts = {};
  bool quoted = false;
  for (const char c : line) {
    quoted = quoted != (c == '"');
    const auto* const it = std::find(kSeparators.begin(), kSeparators.end(), c);
    if (!quoted && it != kSeparators.end()) {
      ++counts[static_cast<std::size_t>(it - kSeparators.begin())];
    }
  }
  const auto* const most = std::max_element(counts.begin(), counts.end());
  return kSeparators[static_cast<std::size_t>(most - counts.begin())];
}

/// Removes a first line such as "sep=;", which some spreadsheets write, from
/// the text.
/// @return The separator that the removed line names, or else the separator
///     detected in the first line.
auto ReadSeparator(std::string_view& text) -> char {
  constexpr std::string_view kPrefix = "sep=";
  const std::string_view line = text.substr(0, text.find('\n'));
  if (line.starts_with(kPrefix) && line.size() > kPrefix.size()) {
    const char separator = line[kPrefix.size()];
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    return separator;
  }
  return DetectSeparator(line);
}

/// State of the CSV parser.
struct CsvParseState {
  CsvTable table;
  std::vector<std::string> row;
  std::string cell;
  bool quoted = false;      ///< Whether the next character is inside quotes.
  bool was_quoted = false;  ///< Whether the closing quote of `cell` was read.
};

auto AddCsvFault(CsvParseState& state, const std::string& reason) -> void {
  state.table.faults.push_back(CsvFault{.row = state.table.rows.size(),
                                        .column = state.row.size(),
                                        .reason = reason});
}

auto FinishCell(CsvParseState& state) -> void {
  state.row.push_back(state.was_quoted ? state.cell : TrimBlanks(state.cell));
  state.cell.clear();
  state.was_quoted = false;
}

auto FinishRow(CsvParseState& state) -> void {
  FinishCell(state);
  state.table.rows.push_back(std::exchange(state.row, {}));
}

auto ReadUnquotedCharacter(CsvParseState& state, char c) -> void {
  if (c == state.table.separator) {
    FinishCell(state);
  } else if (c == '\n') {
    FinishRow(state);
  } else if (c == '"' && !state.was_quoted && TrimBlanks(state.cell).empty()) {
    state.cell.clear();
    state.quoted = true;
  } else if (!state.was_quoted) {
    state.cell += c;
  } else if (c != ' ' && c != '\r') {
    AddCsvFault(state, std::string("'") + c + "' after a closing quote");
  }
}

}  // namespace

auto ParseCsv(const std::string& text) -> CsvTable {
  std::string_view rest = text;
  if (rest.starts_with(kByteOrderMark)) {
    rest.remove_prefix(kByteOrderMark.size());
  }
  CsvParseState state;
  state.table.separator = ReadSeparator(rest);
  for (std::size_t n = 0; n < rest.size(); ++n) {
    if (!state.quoted) {
      ReadUnquotedCharacter(state, rest[n]);
    } else if (rest[n] != '"') {
      state.cell += rest[n];
    } else if (n + 1 < rest.size() && rest[n + 1] == '"') {
      state.cell += '"';
      ++n;
    } else {
      state.quoted = false;
      state.was_quoted = true;
    }
  }
  if (state.quoted) {
    AddCsvFault(state, "the quote that starts here is never closed");
  }
  if (!state.row.empty() || !state.cell.empty() || state.was_quoted) {
    FinishRow(state);
  }
  return std::move(state.table);
}

auto FormatColumnName(std::size_t column) -> std::string {
  constexpr std::size_t kLetterCount = 26;
  std::string name;
  for (std::size_t n = column + 1; n > 0; n = (n - 1) / kLetterCount) {
    name.insert(name.begin(), static_cast<char>('A' + (n - 1) % kLetterCount));
  }
  return name;
}

}  // namespace hawthornbank
