#include "transport/settings_values.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

#include "hawthornbank/error.h"
#include "protocol/near_match.h"

namespace hawthornbank::transport {
namespace {

[[noreturn]] auto ThrowInvalidValue(const std::string& reason) -> void {
  throw Error(ErrorKind::kInvalidSettings, reason);
}

auto TrimBlanks(const std::string& text) -> std::string {
  constexpr auto kBlanks = " \t\r\n";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

auto ReadWholeNumber(const std::string& text, const NumberLimits& range)
    -> std::uint32_t {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, value);
  const std::string unit = range.unit.empty() ? "" : " of " + range.unit;
  if (ec == std::errc::invalid_argument || next != end) {
    ThrowInvalidValue("'" + text + "' is not a whole number" + unit +
                      ", written without a unit");
  }
  if (ec != std::errc() || value < range.min || value > range.max) {
    ThrowInvalidValue("'" + text +
                      "' is out of range: " + std::to_string(range.min) +
                      " to " + std::to_string(range.max) +
                      (range.unit.empty() ? "" : " " + range.unit));
  }
  return static_cast<std::uint32_t>(value);
}

auto ReadAllowedWord(const std::string& text,
                     const std::vector<std::string>& choices) -> std::string {
  if (std::find(choices.begin(), choices.end(), text) != choices.end()) {
    return text;
  }
  std::string list;
  for (const auto& it : choices) {
    list += (list.empty() ? "" : ", ") + it;
  }
  ThrowInvalidValue("'" + text + "' is not one of " + list +
                    FormatSuggestion(text, choices));
}

auto ReadRemoteEndpoint(const std::string& text) -> Endpoint {
  const Endpoint endpoint = ParseEndpoint(text);
  if (endpoint.port == 0) {
    ThrowInvalidValue("'" + text + "' has port 0; ports are 1 to 65535");
  }
  if (endpoint.address == 0) {
    ThrowInvalidValue(
        "'" + text +
        "' has no host address; 0.0.0.0 is only valid for listening");
  }
  return endpoint;
}

auto ReadRemoteEndpointList(const std::string& text) -> std::vector<Endpoint> {
  std::vector<Endpoint> endpoints;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    const Endpoint endpoint = ReadRemoteEndpoint(TrimBlanks(item));
    if (std::find(endpoints.begin(), endpoints.end(), endpoint) !=
        endpoints.end()) {
      ThrowInvalidValue(ToString(endpoint) + " is listed twice");
    }
    endpoints.push_back(endpoint);
  }
  if (endpoints.empty()) {
    ThrowInvalidValue("the list is empty");
  }
  return endpoints;
}

auto ReadHexKey(const std::string& text) -> std::string {
  constexpr std::size_t kKeyDigits = 64;
  const bool hexadecimal = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
  });
  if (text.size() != kKeyDigits || !hexadecimal) {
    ThrowInvalidValue("is not 64 hexadecimal digits (it has " +
                      std::to_string(text.size()) + " characters)");
  }
  std::string key = text;
  std::transform(key.begin(), key.end(), key.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return key;
}

}  // namespace hawthornbank::transport
