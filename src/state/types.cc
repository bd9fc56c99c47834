#include "hawthornbank/types.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <string_view>

#include "hawthornbank/error.h"

namespace hawthornbank {

auto ToString(Endpoint endpoint) -> std::string {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((endpoint.address >> shift) & 0xFFU);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(endpoint.port);
}

auto ParseEndpoint(const std::string& text) -> Endpoint {
  constexpr std::array<char, 5> kSeparators = {'.', '.', '.', ':', '\0'};
  constexpr std::array<std::uint32_t, 5> kLimits = {255, 255, 255, 255, 65535};
  std::array<std::uint32_t, 5> parts = {};
  const char* it = text.data();
  const char* const end = text.data() + text.size();
  for (std::size_t n = 0; n < parts.size(); ++n) {
    const auto [next, ec] = std::from_chars(it, end, parts[n]);
    const bool separated = n + 1 == parts.size()
                               ? next == end
                               : next != end && *next == kSeparators[n];
    if (ec != std::errc() || parts[n] > kLimits[n] || !separated) {
      throw Error(ErrorKind::kInvalidSettings,
                  "'" + text + "' is not an address like 10.0.0.1:5683");
    }
    it = next + 1;
  }
  return Endpoint{.address = (parts[0] << 24U) | (parts[1] << 16U) |
                             (parts[2] << 8U) | parts[3],
                  .port = static_cast<std::uint16_t>(parts[4])};
}

auto HashName(const std::string& name) -> std::uint64_t {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace hawthornbank
