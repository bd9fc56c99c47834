#include "transport/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <sstream>
#include <string_view>

#include "hawthornbank/error.h"
#include "protocol/name.h"
#include "protocol/near_match.h"
#include "transport/ini_lines.h"
#include "transport/settings_values.h"

namespace hawthornbank::transport {
namespace {

/// Whether a key is required, optional or forbidden for a role.
enum class KeyUse : std::uint8_t { kRequired, kOptional, kForbidden };

/// One key of the settings file, its use in each role, and the function that
/// stores its value in the settings.
struct KeyRule {
  std::string_view section;
  std::string_view key;
  KeyUse balancer;
  KeyUse agent;
  auto(*apply)(Settings& settings, const std::string& value) -> void;
};

constexpr auto kRequired = KeyUse::kRequired;
constexpr auto kOptional = KeyUse::kOptional;
constexpr auto kForbidden = KeyUse::kForbidden;

// clang-format off
constexpr auto kKeyRules = std::to_array<KeyRule>({
    {"host", "name", kRequired, kRequired,
     [](auto& s, const auto& v) { s.name = ValidateName(v); }},
    {"host", "zone", kRequired, kRequired,
     [](auto& s, const auto& v) { s.zone = ValidateName(v); }},
    {"host", "region", kOptional, kOptional,
     [](auto& s, const auto& v) { s.region = ValidateName(v); }},
    {"listen", "packets", kRequired, kForbidden,
     [](auto& s, const auto& v) { s.packets = ParseEndpoint(v); }},
    {"listen", "peer", kRequired, kRequired,
     [](auto& s, const auto& v) { s.peer = ParseEndpoint(v); }},
    {"listen", "metrics", kRequired, kOptional,
     [](auto& s, const auto& v) { s.metrics = ParseEndpoint(v); }},
    {"platform", "address", kRequired, kRequired,
     [](auto& s, const auto& v) { s.platform = ReadRemoteEndpoint(v); }},
    {"peers", "balancers", kOptional, kRequired,
     [](auto& s, const auto& v) { s.balancers = ReadRemoteEndpointList(v); }},
    {"key", "current", kRequired, kRequired,
     [](auto& s, const auto& v) { s.key = ReadHexKey(v); }},
    {"key", "previous", kOptional, kOptional,
     [](auto& s, const auto& v) { s.previous_key = ReadHexKey(v); }},
    {"target", "service", kForbidden, kRequired,
     [](auto& s, const auto& v) { s.service = ValidateName(v); }},
    {"target", "address", kForbidden, kRequired,
     [](auto& s, const auto& v) { s.target_address = ReadRemoteEndpoint(v); }},
    {"target", "return", kForbidden, kRequired,
     [](auto& s, const auto& v) { s.return_address = ReadRemoteEndpoint(v); }},
    {"log", "level", kOptional, kOptional,
     [](auto& s, const auto& v) { s.log_level = ReadAllowedWord(
         v, {"trace", "debug", "info", "warn", "error"}); }},
    {"log", "layout", kOptional, kOptional,
     [](auto& s, const auto& v) { s.log_layout = ReadAllowedWord(
         v, {"text", "json"}); }},
    {"limits", "workers", kOptional, kOptional,
     [](auto& s, const auto& v) { s.workers = ReadWholeNumber(v, {1, 64}); }},
    {"limits", "flow_cache_entries", kOptional, kOptional,
     [](auto& s, const auto& v) {
       s.flow_cache_entries = ReadWholeNumber(v, {1'000, 16'000'000}); }},
    {"limits", "drain_limit_s", kOptional, kOptional,
     [](auto& s, const auto& v) { s.drain_limit = std::chrono::seconds{
         ReadWholeNumber(v, {1, 604'800, "seconds"})}; }},
    {"limits", "retry_budget_percent", kOptional, kOptional,
     [](auto& s, const auto& v) {
       s.retry_budget_percent = ReadWholeNumber(v, {0, 100, "percent"}); }},
    {"plan", "execute", kOptional, kForbidden,
     [](auto& s, const auto& v) {
       s.execute_plan = ReadAllowedWord(v, {"true", "false"}) == "true"; }},
});
// clang-format on

auto GetKeyUseForRole(const KeyRule& rule, Role role) -> KeyUse {
  return role == Role::kBalancer ? rule.balancer : rule.agent;
}

auto GetRoleName(Role role) -> std::string {
  return role == Role::kBalancer ? "balancer" : "agent";
}

auto GetFullKeyName(const KeyRule& rule) -> std::string {
  return std::string(rule.section) + "." + std::string(rule.key);
}

/// A fault and its line; line 0 stands for the whole file.
struct Fault {
  int line = 0;
  std::string text;
};

/// State while one settings file is parsed.
struct ParseState {
  Settings settings;
  std::map<std::string, int> lines;  ///< Line number of each key present.
  std::vector<Fault> faults;
};

/// @return The message for an entry whose section or key is unknown. It names
///         the most similar known one, or the section to which the key belongs.
auto DescribeUnknownKey(const IniEntry& entry) -> std::string {
  std::vector<std::string> sections;
  std::vector<std::string> keys;
  std::string elsewhere;
  for (const auto& rule : kKeyRules) {
    sections.emplace_back(rule.section);
    if (rule.section == entry.section) {
      keys.emplace_back(rule.key);
    }
    if (rule.key == entry.key) {
      elsewhere = rule.section;
    }
  }
  if (keys.empty()) {
    return "unknown section [" + entry.section + "]" +
           FormatSuggestion(entry.section, sections);
  }
  const std::string suggestion = FormatSuggestion(entry.key, keys);
  if (suggestion.empty() && !elsewhere.empty()) {
    return "unknown key; it belongs in [" + elsewhere + "]";
  }
  return "unknown key" + suggestion;
}

auto ApplySettingsEntry(ParseState& state, const IniEntry& entry) -> void {
  const std::string name = entry.section + "." + entry.key;
  const auto fault = [&](const std::string& reason) {
    const std::string place = entry.section.empty() ? entry.key : name;
    state.faults.push_back({entry.line, place + ": " + reason});
  };
  const auto* const rule = std::find_if(
      kKeyRules.begin(), kKeyRules.end(), [&entry](const KeyRule& it) {
        return it.section == entry.section && it.key == entry.key;
      });
  if (rule == kKeyRules.end()) {
    fault(DescribeUnknownKey(entry));
    return;
  }
  const auto [seen, inserted] = state.lines.try_emplace(name, entry.line);
  if (!inserted) {
    fault("duplicate key, first on line " + std::to_string(seen->second));
    return;
  }
  if (GetKeyUseForRole(*rule, state.settings.role) == KeyUse::kForbidden) {
    fault("not a key of role " + GetRoleName(state.settings.role));
    return;
  }
  try {
    rule->apply(state.settings, entry.value);
  } catch (const Error& error) {
    fault(error.what());
  }
}

auto CheckRequiredKeys(ParseState& state) -> void {
  for (const auto& rule : kKeyRules) {
    const std::string name = GetFullKeyName(rule);
    if (GetKeyUseForRole(rule, state.settings.role) == KeyUse::kRequired &&
        !state.lines.contains(name)) {
      state.faults.push_back({0, name + ": missing; role " +
                                     GetRoleName(state.settings.role) +
                                     " needs it"});
    }
  }
}

/// Two keys whose endpoints must differ.
struct EndpointPair {
  std::string_view first;
  std::string_view second;
  Endpoint Settings::*first_endpoint;
  Endpoint Settings::*second_endpoint;
};

// Only pairs of the same transport protocol are listed, because UDP and TCP
// may share a port.
constexpr auto kDistinctEndpointPairs = std::to_array<EndpointPair>({
    {"listen.packets", "listen.peer", &Settings::packets, &Settings::peer},
    {"listen.metrics", "platform.address", &Settings::metrics,
     &Settings::platform},
    {"listen.peer", "target.address", &Settings::peer,
     &Settings::target_address},
    {"listen.peer", "target.return", &Settings::peer,
     &Settings::return_address},
    {"target.address", "target.return", &Settings::target_address,
     &Settings::return_address},
});

/// @return Whether both endpoints have the same port on a common address, so
///         that two processes could not listen on them.
auto DoEndpointsOverlap(Endpoint left, Endpoint right) -> bool {
  const bool same_host =
      left.address == right.address || left.address == 0 || right.address == 0;
  return left.port != 0 && left.port == right.port && same_host;
}

auto CheckConflictingValues(ParseState& state) -> void {
  const Settings& settings = state.settings;
  for (const auto& it : kDistinctEndpointPairs) {
    if (DoEndpointsOverlap(settings.*it.first_endpoint,
                           settings.*it.second_endpoint)) {
      state.faults.push_back({state.lines[std::string(it.second)],
                              std::string(it.second) + ": " +
                                  ToString(settings.*it.second_endpoint) +
                                  " is also " + std::string(it.first)});
    }
  }
  // A balancer may be in its own list of seeds, because all balancers may share
  // one list.
  const auto self = std::find(settings.balancers.begin(),
                              settings.balancers.end(), settings.peer);
  if (settings.role == Role::kAgent && self != settings.balancers.end()) {
    state.faults.push_back({state.lines["peers.balancers"],
                            "peers.balancers: " + ToString(*self) +
                                " is this agent's own listen.peer"});
  }
  if (!settings.key.empty() && settings.key == settings.previous_key) {
    state.faults.push_back(
        {state.lines["key.previous"], "key.previous: the same as key.current"});
  }
}

auto ThrowSettingsError(std::vector<Fault>& faults, const std::string& file)
    -> void {
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const Fault& a, const Fault& b) { return a.line < b.line; });
  std::string text;
  for (const auto& it : faults) {
    text += text.empty() ? "" : "\n";
    text += file + ":" + std::to_string(it.line) + ": " + it.text;
  }
  throw Error(ErrorKind::kInvalidSettings, text);
}

}  // namespace

auto ParseSettings(const std::string& text, const std::string& file, Role role)
    -> Settings {
  ParseState state{.settings = Settings{.role = role}};
  const IniLines lines = ParseIniLines(text);
  for (const auto& it : lines.faults) {
    state.faults.push_back({it.line, it.reason});
  }
  for (const auto& it : lines.entries) {
    ApplySettingsEntry(state, it);
  }
  CheckRequiredKeys(state);
  CheckConflictingValues(state);
  if (!state.faults.empty()) {
    ThrowSettingsError(state.faults, file);
  }
  return state.settings;
}

auto ReadSettingsFile(const std::string& path, Role role) -> Settings {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw Error(ErrorKind::kInvalidSettings,
                path + ":0: the file can't be read or is empty");
  }
  return ParseSettings(text.str(), path, role);
}

}  // namespace hawthornbank::transport
