#include "protocol/name.h"

#include <algorithm>
#include <cctype>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

auto IsNameCharacter(unsigned char c) -> bool {
  return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
}

}  // namespace

auto ValidateName(const std::string& text) -> std::string {
  constexpr std::size_t kMaxNameLength = 63;
  if (text.empty()) {
    throw Error(ErrorKind::kInvalidSettings, "is empty");
  }
  if (text.size() > kMaxNameLength ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    throw Error(ErrorKind::kInvalidSettings,
                "'" + text + "' is not a name: letters, digits, '.', '-' " +
                    "and '_', at most " + std::to_string(kMaxNameLength));
  }
  return text;
}

}  // namespace hawthornbank
