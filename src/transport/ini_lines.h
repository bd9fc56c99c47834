#ifndef HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_

#include <string>
#include <vector>

/// @file
/// INI text as entries with line numbers, which the INI library leaves out.
namespace hawthornbank::transport {

/// One "key = value" line.
struct IniEntry {
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/// A line that can't be used, and why.
struct IniFault {
  int line = 0;
  std::string reason;
};

/// Everything that the INI library made of a text.
struct IniLines {
  std::vector<IniEntry> entries;
  std::vector<IniFault> faults;
};

/// Parses INI text. An indented line continues the value before it.
/// @param text The text of the file; may start with a UTF-8 byte order mark.
/// @return Its entries, and all lines that could not be parsed.
auto ParseIniLines(const std::string& text) -> IniLines;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_INI_LINES_H_
