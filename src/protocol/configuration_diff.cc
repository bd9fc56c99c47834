#include "protocol/configuration_diff.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

namespace hawthornbank {
namespace {

using Changes = std::vector<ConfigurationChange>;

auto JoinZoneNames(const std::vector<std::string>& zones) -> std::string {
  std::string text;
  for (const auto& it : zones) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

auto AppendServiceFieldChanges(const Service* before,
                               const Service* after,
                               Changes& changes) -> void {
  const Service& shown = after != nullptr ? *after : *before;
  const auto old_fields = before != nullptr ? ListServiceFields(*before)
                                            : std::vector<ServiceField>{};
  const auto new_fields = after != nullptr ? ListServiceFields(*after)
                                           : std::vector<ServiceField>{};
  const auto& fields = after != nullptr ? new_fields : old_fields;
  if (before != nullptr && after != nullptr && before->id != after->id) {
    changes.push_back(
        ConfigurationChange{.subject = "service " + shown.name,
                            .field = "id",
                            .before = std::to_string(ToInteger(before->id)),
                            .after = std::to_string(ToInteger(after->id))});
  }
  for (std::size_t n = 0; n < fields.size(); ++n) {
    const std::string from = before != nullptr ? old_fields[n].value : "";
    const std::string to = after != nullptr ? new_fields[n].value : "";
    if (from != to) {
      changes.push_back(ConfigurationChange{.subject = "service " + shown.name,
                                            .field = fields[n].name,
                                            .before = from,
                                            .after = to});
    }
  }
}

auto AppendServiceChanges(const Configuration& before,
                          const Configuration& after,
                          Changes& changes) -> void {
  for (const auto& it : before.services) {
    AppendServiceFieldChanges(&it, FindService(after, it.name), changes);
  }
  for (const auto& it : after.services) {
    if (FindService(before, it.name) == nullptr) {
      AppendServiceFieldChanges(nullptr, &it, changes);
    }
  }
}

/// Formatted demand of a configuration, by subject ("service NAME") and field
/// name.
using DemandTexts = std::map<std::pair<std::string, std::string>, std::string>;

auto FormatDemandByField(const Configuration& configuration) -> DemandTexts {
  std::map<ServiceId, std::string> names;
  for (const auto& it : configuration.services) {
    names[it.id] = it.name;
  }
  DemandTexts texts;
  for (const auto& it : configuration.demand) {
    const std::string field =
        "demand " + it.day + " " + FormatTimeOfDay(it.start);
    texts[{"service " + names[it.service], field}] =
        FormatRequestRate(it.requests_per_second) +
        (it.zones.empty() ? "" : " in " + JoinZoneNames(it.zones));
  }
  return texts;
}

auto AppendDemandChanges(const Configuration& before,
                         const Configuration& after,
                         Changes& changes) -> void {
  const DemandTexts old_texts = FormatDemandByField(before);
  const DemandTexts new_texts = FormatDemandByField(after);
  DemandTexts keys = old_texts;
  keys.insert(new_texts.begin(), new_texts.end());
  for (const auto& [key, unused] : keys) {
    const auto from = old_texts.find(key);
    const auto to = new_texts.find(key);
    ConfigurationChange change{
        .subject = key.first,
        .field = key.second,
        .before = from == old_texts.end() ? "" : from->second,
        .after = to == new_texts.end() ? "" : to->second};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
}

/// Appends a change for each process whose name is in only one of two lists.
/// @param old_list Names in the older configuration, such as draining targets.
/// @param new_list Names in the newer configuration.
/// @param change_template Subject without the name, and name of the field;
///     `before` is the field's value for a process that is not listed, `after`
///     the value for a process that is listed.
auto AppendProcessStateChanges(const std::vector<std::string>& old_list,
                               const std::vector<std::string>& new_list,
                               const ConfigurationChange& change_template,
                               Changes& changes) -> void {
  const std::set<std::string> old_names(old_list.begin(), old_list.end());
  const std::set<std::string> new_names(new_list.begin(), new_list.end());
  std::set<std::string> names = old_names;
  names.insert(new_names.begin(), new_names.end());
  for (const auto& it : names) {
    const bool was_listed = old_names.contains(it);
    const bool is_listed = new_names.contains(it);
    if (was_listed != is_listed) {
      changes.push_back(ConfigurationChange{
          .subject = change_template.subject + it,
          .field = change_template.field,
          .before = was_listed ? change_template.after : change_template.before,
          .after = is_listed ? change_template.after : change_template.before});
    }
  }
}

}  // namespace

auto ListServiceFields(const Service& service) -> std::vector<ServiceField> {
  return {
      {"transport", service.transport == Transport::kTcp ? "tcp" : "udp"},
      {"address", ToString(service.address)},
      {"zones", JoinZoneNames(service.zones)},
      {"slots", std::to_string(service.slots)},
      {"connections", std::to_string(service.max_connections)},
      {"targets", std::to_string(service.target_count)},
      {"weight", std::to_string(service.weight)},
      {"counts_double", service.non_idempotent_counts_double ? "yes" : "no"},
      {"drain_limit_s", std::to_string(service.drain_limit.count())},
  };
}

auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange> {
  Changes changes;
  AppendServiceChanges(before, after, changes);
  AppendDemandChanges(before, after, changes);
  AppendProcessStateChanges(before.draining, after.draining,
                            {"target ", "state", "serving", "draining"},
                            changes);
  AppendProcessStateChanges(before.stopping, after.stopping,
                            {"balancer ", "state", "serving", "stopping"},
                            changes);
  AppendProcessStateChanges(before.resting, after.resting,
                            {"target ", "plan", "serving", "resting"}, changes);
  return changes;
}

auto FormatConfigurationChange(const ConfigurationChange& change)
    -> std::string {
  const std::string place = change.subject + ": " + change.field + " ";
  if (change.before.empty()) {
    return "+ " + place + change.after;
  }
  if (change.after.empty()) {
    return "- " + place + change.before;
  }
  return "~ " + place + change.before + " -> " + change.after;
}

auto FormatTimeOfDay(std::chrono::minutes time) -> std::string {
  constexpr std::int64_t kMinutesPerHour = 60;
  constexpr std::int64_t kTwoDigits = 10;
  const auto pad = [](std::int64_t n) {
    return (n < kTwoDigits ? "0" : "") + std::to_string(n);
  };
  return pad(time.count() / kMinutesPerHour) + ":" +
         pad(time.count() % kMinutesPerHour);
}

auto FormatRequestRate(double rate) -> std::string {
  std::array<char, 64> buf = {};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), rate);
  return ec == std::errc() ? std::string(buf.data(), end) : "?";
}

}  // namespace hawthornbank
