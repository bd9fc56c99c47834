#include "protocol/csv.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace hawthornbank {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

auto Trim(std::string_view text) -> std::string {
  constexpr std::string_view kBlanks = " \t\r";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return "";
  }
  return std::string(
      text.substr(first, text.find_last_not_of(kBlanks) - first + 1));
}

/// @return The separator that stands most often outside quotes in a line.
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

/// Takes a first line "sep=;" off the text, as some spreadsheets write it.
/// @return Its separator, or the one detected.
auto TakeSeparator(std::string_view& text) -> char {
  constexpr std::string_view kPrefix = "sep=";
  const std::string_view line = text.substr(0, text.find('\n'));
  if (line.starts_with(kPrefix) && line.size() > kPrefix.size()) {
    const char separator = line[kPrefix.size()];
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    return separator;
  }
  return DetectSeparator(line);
}

/// State of one pass over a text.
struct Reader {
  CsvTable table;
  std::vector<std::string> row;
  std::string cell;
  bool quoted = false;      ///< Inside quotes.
  bool was_quoted = false;  ///< After the closing quote.
};

auto AddFault(Reader& reader, const std::string& reason) -> void {
  reader.table.faults.push_back(CsvFault{.row = reader.table.rows.size(),
                                         .column = reader.row.size(),
                                         .reason = reason});
}

auto EndCell(Reader& reader) -> void {
  reader.row.push_back(reader.was_quoted ? reader.cell : Trim(reader.cell));
  reader.cell.clear();
  reader.was_quoted = false;
}

auto EndRow(Reader& reader) -> void {
  EndCell(reader);
  reader.table.rows.push_back(std::exchange(reader.row, {}));
}

auto TakePlain(Reader& reader, char c) -> void {
  if (c == reader.table.separator) {
    EndCell(reader);
  } else if (c == '\n') {
    EndRow(reader);
  } else if (c == '"' && !reader.was_quoted && Trim(reader.cell).empty()) {
    reader.cell.clear();
    reader.quoted = true;
  } else if (!reader.was_quoted) {
    reader.cell += c;
  } else if (c != ' ' && c != '\r') {
    AddFault(reader, std::string("'") + c + "' after a closing quote");
  }
}

}  // namespace

auto ParseCsv(const std::string& text) -> CsvTable {
  std::string_view rest = text;
  if (rest.starts_with(kByteOrderMark)) {
    rest.remove_prefix(kByteOrderMark.size());
  }
  Reader reader;
  reader.table.separator = TakeSeparator(rest);
  for (std::size_t n = 0; n < rest.size(); ++n) {
    if (!reader.quoted) {
      TakePlain(reader, rest[n]);
    } else if (rest[n] != '"') {
      reader.cell += rest[n];
    } else if (n + 1 < rest.size() && rest[n + 1] == '"') {
      reader.cell += '"';
      ++n;
    } else {
      reader.quoted = false;
      reader.was_quoted = true;
    }
  }
  if (reader.quoted) {
    AddFault(reader, "the quote that starts here is never closed");
  }
  if (!reader.row.empty() || !reader.cell.empty() || reader.was_quoted) {
    EndRow(reader);
  }
  return std::move(reader.table);
}

auto CsvColumnName(std::size_t column) -> std::string {
  constexpr std::size_t kLetters = 26;
  std::string name;
  for (std::size_t n = column + 1; n > 0; n = (n - 1) / kLetters) {
    name.insert(name.begin(), static_cast<char>('A' + (n - 1) % kLetters));
  }
  return name;
}

}  // namespace hawthornbank
