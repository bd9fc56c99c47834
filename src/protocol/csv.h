#ifndef HAWTHORNBANK_SRC_PROTOCOL_CSV_H_
#define HAWTHORNBANK_SRC_PROTOCOL_CSV_H_

#include <cstddef>
#include <string>
#include <vector>

/// @file
/// Comma-separated values (RFC 4180) as spreadsheets export them.
namespace hawthornbank {

/// A place that can't be read, counted from 0.
struct CsvFault {
  std::size_t row = 0;
  std::size_t column = 0;
  std::string reason;
};

/// The cells of a text. Row n is the spreadsheet's row n + 1.
struct CsvTable {
  char separator = ',';
  std::vector<std::vector<std::string>> rows;
  std::vector<CsvFault> faults;
};

/// Splits a text into cells.
/// Takes a UTF-8 byte order mark, CRLF or LF, quoted cells, and the separator
/// that the header uses most (',', ';' or a tab) or that a first line
/// "sep=;" names.
/// @param text UTF-8 text.
/// @return The cells with blanks around unquoted ones removed, and faults.
auto ParseCsv(const std::string& text) -> CsvTable;

/// Names a column as spreadsheets do.
/// @param column Counted from 0.
/// @return "A" to "Z", "AA" and so on.
auto CsvColumnName(std::size_t column) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_CSV_H_
