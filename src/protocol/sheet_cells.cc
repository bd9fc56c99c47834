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

[[noreturn]] auto ThrowInvalidCell(const std::string& reason) -> void {
  throw Error(ErrorKind::kInvalidSettings, reason);
}

auto ToLowerCase(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// @return The number, or nothing unless the text consists of decimal digits
///     only and the number fits 64 bits.
auto ParseWholeNumber(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || next != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto ReadIntegerCell(const std::string& cell, const IntegerRange& range)
    -> std::uint32_t {
  const auto value = ParseWholeNumber(cell);
  if (!value) {
    ThrowInvalidCell(cell.empty() ? "is empty"
                                  : "'" + cell + "' is not a whole number");
  }
  if (*value < range.min || *value > range.max) {
    ThrowInvalidCell("'" + cell +
                     "' is out of range: " + std::to_string(range.min) +
                     " to " + std::to_string(range.max));
  }
  return static_cast<std::uint32_t>(*value);
}

auto ReadRateCell(const std::string& cell, char separator) -> double {
  constexpr double kMaxRate = 1e9;
  constexpr std::size_t kThousandsDigits = 3;
  const char ambiguous_mark = separator == ';' ? '.' : ',';
  const auto mark = cell.find_first_of(".,");
  if (mark != std::string::npos && cell[mark] == ambiguous_mark &&
      cell.size() - mark - 1 == kThousandsDigits) {
    ThrowInvalidCell("'" + cell +
                     "' may mean thousands or decimals; write it without '" +
                     ambiguous_mark + "' or with another number of decimals");
  }
  std::string text = cell;
  std::replace(text.begin(), text.end(), ',', '.');
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, ec] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (ec != std::errc() || next != end || !std::isfinite(value)) {
    ThrowInvalidCell("'" + cell + "' is not a number of requests per second");
  }
  if (std::signbit(value) || value > kMaxRate) {
    ThrowInvalidCell("'" + cell + "' is out of range: 0 to 1000000000");
  }
  return value;
}

auto ReadTransportCell(const std::string& cell) -> Transport {
  const std::string word = ToLowerCase(cell);
  if (word != "udp" && word != "tcp") {
    ThrowInvalidCell("'" + cell + "' is neither udp nor tcp");
  }
  return word == "udp" ? Transport::kUdp : Transport::kTcp;
}

auto ReadAddressCell(const std::string& cell) -> Endpoint {
  if (cell.empty()) {
    ThrowInvalidCell("is empty");
  }
  const Endpoint endpoint = ParseEndpoint(cell);
  if (endpoint.address == 0 || endpoint.port == 0) {
    ThrowInvalidCell("'" + cell +
                     "' can't be reached; it needs an address and a port");
  }
  return endpoint;
}

auto ReadZonesCell(const std::string& cell) -> std::vector<std::string> {
  constexpr auto kSeparators = ",; \n\r\t";
  std::vector<std::string> zones;
  std::size_t first = cell.find_first_not_of(kSeparators);
  while (first != std::string::npos) {
    const std::size_t last = cell.find_first_of(kSeparators, first);
    const std::string zone = ValidateName(cell.substr(first, last - first));
    if (std::find(zones.begin(), zones.end(), zone) != zones.end()) {
      ThrowInvalidCell("zone '" + zone + "' is listed twice");
    }
    zones.push_back(zone);
    first = cell.find_first_not_of(kSeparators, last);
  }
  if (zones.empty()) {
    ThrowInvalidCell("names no zone");
  }
  return zones;
}

auto ReadYesNoCell(const std::string& cell) -> bool {
  const std::string word = ToLowerCase(cell);
  if (word != "yes" && word != "no") {
    ThrowInvalidCell("'" + cell + "' is neither yes nor no");
  }
  return word == "yes";
}

auto ReadDayCell(const std::string& cell) -> std::string {
  constexpr std::size_t kDateLength = 10;
  if (cell.empty() || ToLowerCase(cell) == "daily") {
    return "daily";
  }
  const std::string_view text = cell;
  if (text.size() != kDateLength || text[4] != '-' || text[7] != '-') {
    ThrowInvalidCell("'" + cell +
                     "' is neither daily nor a date like 2026-12-24" +
                     FormatSuggestion(ToLowerCase(cell), {"daily"}));
  }
  const auto year = ParseWholeNumber(text.substr(0, 4));
  const auto month = ParseWholeNumber(text.substr(5, 2));
  const auto day = ParseWholeNumber(text.substr(8, 2));
  const bool has_numbers = year && month && day;
  if (!has_numbers || !std::chrono::year_month_day(
                           std::chrono::year(static_cast<int>(*year)),
                           std::chrono::month(static_cast<unsigned>(*month)),
                           std::chrono::day(static_cast<unsigned>(*day)))
                           .ok()) {
    ThrowInvalidCell("there is no day '" + cell + "'");
  }
  return cell;
}

auto ReadTimeOfDayHeader(const std::string& cell)
    -> std::optional<std::chrono::minutes> {
  constexpr std::uint64_t kHoursPerDay = 24;
  constexpr std::uint64_t kMinutesPerHour = 60;
  constexpr std::string_view kZeroSeconds = ":00";
  std::string_view text = cell;
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || colon > 2) {
    return std::nullopt;
  }
  const auto hour = ParseWholeNumber(text.substr(0, colon));
  text.remove_prefix(colon + 1);
  if (text.size() == 5 && text.ends_with(kZeroSeconds)) {
    text.remove_suffix(kZeroSeconds.size());
  }
  const auto minute = text.size() == 2 ? ParseWholeNumber(text) : std::nullopt;
  if (!hour || !minute || *hour >= kHoursPerDay || *minute >= kMinutesPerHour) {
    return std::nullopt;
  }
  return std::chrono::minutes{*hour * kMinutesPerHour + *minute};
}

auto IsUtf8WithoutNul(const std::string& text) -> bool {
  using nlohmann::json;
  if (text.find('\0') != std::string::npos) {
    return false;
  }
  try {
    // The JSON library throws when a string to serialise isn't valid UTF-8, so
    // this function needs no UTF-8 decoder.
    const std::string encoded = json(text).dump();
    return !encoded.empty();
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace hawthornbank
