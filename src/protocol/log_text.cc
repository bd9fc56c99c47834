#include "protocol/log_text.h"

#include <algorithm>

namespace hawthornbank {

auto FormatForLog(std::string_view text, std::size_t max_bytes) -> std::string {
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  std::string printable(text.substr(0, max_bytes));
  std::replace_if(
      printable.begin(), printable.end(),
      [](char it) {
        return it < kFirstPrintable || it > kLastPrintable || it == '"';
      },
      '?');
  return printable;
}

}  // namespace hawthornbank
