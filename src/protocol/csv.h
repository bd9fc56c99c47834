#ifndef HAWTHORNBANK_SRC_PROTOCOL_CSV_H_
#define HAWTHORNBANK_SRC_PROTOCOL_CSV_H_

#include <cstddef>
#include <string>
#include <vector>

/// @file
/// Comma-separated values (RFC 4180) as spreadsheets export them.
namespace hawthornbank {

/// A cell with a fault and the reason. Row and column are counted from 0.
struct CsvFault {
  std::size_t row = 0;
  std::size_t column = 0;
  std::string reason;
};

/// Parsed cells. `rows[n]` is the spreadsheet's row n + 1.
struct CsvTable {
  char separator = ',';
  std::vector<std::vector<std::string>> rows;
  std::vector<CsvFault> faults;
};

/// Splits a CSV text into cells.
/// Accepts a UTF-8 byte order mark, CRLF or LF line ends and quoted cells. The
/// separator is the character that a first line such as "sep=;" names, or else
/// the most frequent of ',', ';' and tab in the first line, outside quotes.
/// @param text UTF-8 text.
/// @return The cells, without blanks around unquoted cells, and the faults.
auto ParseCsv(const std::string& text) -> CsvTable;

/// Converts a column index to the column name that spreadsheets show.
/// @param column Column index, from 0.
/// @return "A" to "Z", "AA" and so on.
auto FormatColumnName(std::size_t column) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_CSV_H_
