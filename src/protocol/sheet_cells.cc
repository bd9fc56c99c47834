#include "protocol/sheet_cells.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "hawthornbank/error.h"
#include "protocol/name.h"
#include "protocol/near_match.h"

namespace hawthornbank {
namespace {

[[noreturn]] auto Refuse(const std::string& reason) -> void {
  throw Error(ErrorKind::kInvalidSettings, reason);
}

auto Lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Reads all of a text as a whole number.
auto ParseWhole(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || next != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto ReadCountCell(const std::string& cell, const CellRange& range)
    -> std::uint32_t {
  const auto value = ParseWhole(cell);
  if (!value) {
    Refuse(cell.empty() ? "is empty" : "'" + cell + "' is not a whole number");
  }
  if (*value < range.min || *value > range.max) {
    Refuse("'" + cell + "' is out of range: " + std::to_string(range.min) +
           " to " + std::to_string(range.max));
  }
  return static_cast<std::uint32_t>(*value);
}

auto ReadRateCell(const std::string& cell, char separator) -> double {
  constexpr double kMaxRate = 1e9;
  constexpr std::size_t kThousandsDigits = 3;
  const char doubtful = separator == ';' ? '.' : ',';
  const auto mark = cell.find_first_of(".,");
  if (mark != std::string::npos && cell[mark] == doubtful &&
      cell.size() - mark - 1 == kThousandsDigits) {
    Refuse("'" + cell + "' may mean thousands or decimals; write it without '" +
           doubtful + "' or with another number of decimals");
  }
  std::string text = cell;
  std::replace(text.begin(), text.end(), ',', '.');
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, ec] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (ec != std::errc() || next != end || !std::isfinite(value)) {
    Refuse("'" + cell + "' is not a number of requests per second");
  }
  if (std::signbit(value) || value > kMaxRate) {
    Refuse("'" + cell + "' is out of range: 0 to 1000000000");
  }
  return value;
}

auto ReadTransportCell(const std::string& cell) -> Transport {
  const std::string word = Lower(cell);
  if (word != "udp" && word != "tcp") {
    Refuse("'" + cell + "' is neither udp nor tcp");
  }
  return word == "udp" ? Transport::kUdp : Transport::kTcp;
}

auto ReadAddressCell(const std::string& cell) -> Endpoint {
  if (cell.empty()) {
    Refuse("is empty");
  }
  const Endpoint endpoint = ParseEndpoint(cell);
  if (endpoint.address == 0 || endpoint.port == 0) {
    Refuse("'" + cell + "' can't be reached; it needs an address and a port");
  }
  return endpoint;
}

auto ReadZonesCell(const std::string& cell) -> std::vector<std::string> {
  constexpr auto kSeparators = ",; \n\r\t";
  std::vector<std::string> zones;
  std::size_t first = cell.find_first_not_of(kSeparators);
  while (first != std::string::npos) {
    const std::size_t last = cell.find_first_of(kSeparators, first);
    const std::string zone = ReadName(cell.substr(first, last - first));
    if (std::find(zones.begin(), zones.end(), zone) != zones.end()) {
      Refuse("zone '" + zone + "' stands twice");
    }
    zones.push_back(zone);
    first = cell.find_first_not_of(kSeparators, last);
  }
  if (zones.empty()) {
    Refuse("names no zone");
  }
  return zones;
}

auto ReadYesCell(const std::string& cell) -> bool {
  const std::string word = Lower(cell);
  if (word != "yes" && word != "no") {
    Refuse("'" + cell + "' is neither yes nor no");
  }
  return word == "yes";
}

auto ReadDayCell(const std::string& cell) -> std::string {
  constexpr std::size_t kDateLength = 10;
  if (cell.empty() || Lower(cell) == "daily") {
    return "daily";
  }
  const std::string_view text = cell;
  if (text.size() != kDateLength || text[4] != '-' || text[7] != '-') {
    Refuse("'" + cell + "' is neither daily nor a date like 2026-12-24" +
           Suggestion(Lower(cell), {"daily"}));
  }
  const auto year = ParseWhole(text.substr(0, 4));
  const auto month = ParseWhole(text.substr(5, 2));
  const auto day = ParseWhole(text.substr(8, 2));
  const bool digits = year && month && day;
  if (!digits || !std::chrono::year_month_day(
                      std::chrono::year(static_cast<int>(*year)),
                      std::chrono::month(static_cast<unsigned>(*month)),
                      std::chrono::day(static_cast<unsigned>(*day)))
                      .ok()) {
    Refuse("there is no day '" + cell + "'");
  }
  return cell;
}

auto ReadTimeHeader(const std::string& cell)
    -> std::optional<std::chrono::minutes> {
  constexpr std::uint64_t kHours = 24;
  constexpr std::uint64_t kMinutes = 60;
  constexpr std::string_view kSeconds = ":00";
  std::string_view text = cell;
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || colon > 2) {
    return std::nullopt;
  }
  const auto hour = ParseWhole(text.substr(0, colon));
  text.remove_prefix(colon + 1);
  if (text.size() == 5 && text.ends_with(kSeconds)) {
    text.remove_suffix(kSeconds.size());
  }
  const auto minute = text.size() == 2 ? ParseWhole(text) : std::nullopt;
  if (!hour || !minute || *hour >= kHours || *minute >= kMinutes) {
    return std::nullopt;
  }
  return std::chrono::minutes{*hour * kMinutes + *minute};
}

auto IsUtf8(const std::string& text) -> bool {
  using nlohmann::json;
  if (text.find('\0') != std::string::npos) {
    return false;
  }
  try {
    // Dumping is strict about UTF-8, so that no decoder stands here.
    const std::string encoded = json(text).dump();
    return !encoded.empty();
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace hawthornbank
