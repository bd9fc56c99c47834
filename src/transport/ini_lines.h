#ifndef HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_

#include <string>
#include <vector>

/// @file
/// Parser of INI text that reports the line number of each entry, unlike the
/// INI library.
namespace hawthornbank::transport {

/// One "key = value" line.
struct IniEntry {
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/// A line that could not be parsed, and the reason.
struct IniFault {
  int line = 0;
  std::string reason;
};

/// Result of parsing an INI text.
struct IniLines {
  std::vector<IniEntry> entries;
  std::vector<IniFault> faults;
};

/// Parses INI text. An indented line continues the value of the line before.
/// @param text The text of the file; may start with a UTF-8 byte order mark.
/// @return The entries, and all lines that could not be parsed.
auto ParseIniLines(const std::string& text) -> IniLines;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_
