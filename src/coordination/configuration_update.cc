#include "hawthornbank/configuration_update.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace hawthornbank {
namespace {

using nlohmann::json;

/// @return Services of a configuration's JSON form, by name.
auto ServicesByName(const json& value) -> std::map<std::string, json> {
  std::map<std::string, json> services;
  for (const auto& it : value.at("services")) {
    services[it.at("name").get<std::string>()] = it;
  }
  return services;
}

auto DescribeService(const std::string& name,
                     const json& before,
                     const json& after,
                     std::vector<std::string>& lines) -> void {
  for (const auto& [key, value] : after.items()) {
    if (before.at(key) != value) {
      auto& line = lines.emplace_back("service ");
      line.append(name).append(": ").append(key).append(" ");
      line.append(before.at(key).dump()).append(" -> ").append(value.dump());
    }
  }
}

auto DescribeServices(const json& before,
                      const json& after,
                      std::vector<std::string>& lines) -> void {
  const auto old_services = ServicesByName(before);
  const auto new_services = ServicesByName(after);
  for (const auto& [name, service] : old_services) {
    if (!new_services.contains(name)) {
      lines.push_back("service " + name + ": removed");
    }
  }
  for (const auto& [name, service] : new_services) {
    const auto it = old_services.find(name);
    if (it == old_services.end()) {
      lines.push_back("service " + name + ": added");
    } else {
      DescribeService(name, it->second, service, lines);
    }
  }
}

auto DescribeList(const char* field,
                  const json& before,
                  const json& after,
                  std::vector<std::string>& lines) -> void {
  const auto contains = [](const json& list, const json& it) {
    return std::find(list.begin(), list.end(), it) != list.end();
  };
  for (const auto& it : before.at(field)) {
    if (!contains(after.at(field), it)) {
      lines.push_back(std::string(field) + ": removed " + it.dump());
    }
  }
  for (const auto& it : after.at(field)) {
    if (!contains(before.at(field), it)) {
      lines.push_back(std::string(field) + ": added " + it.dump());
    }
  }
}

auto Lost(const ConfigurationUpdate& update, const std::string& winner)
    -> UpdateDone {
  UpdateDone done{.outcome = UpdateOutcome::kConflict,
                  .configuration = DecodeConfiguration(winner),
                  .value = {},
                  .winner_changes = {}};
  done.winner_changes = DescribeChanges(update.base, done.configuration);
  return done;
}

auto Accepted(const ConfigurationUpdate& update) -> UpdateDone {
  return UpdateDone{.outcome = UpdateOutcome::kAccepted,
                    .configuration = update.wanted,
                    .value = update.write.value,
                    .winner_changes = {}};
}

auto ReadBack(const ConfigurationUpdate& update) -> UpdateStep {
  return UpdateReadBack{.from = update.write.if_version};
}

/// Counts an answer that says nothing, and gives up after too many.
auto OnUnknown(ConfigurationUpdate& update) -> UpdateStep {
  if (++update.unknown_answers > update.options.max_unknown_answers) {
    return UpdateDone{.outcome = UpdateOutcome::kUnknown,
                      .configuration = update.wanted,
                      .value = {},
                      .winner_changes = {}};
  }
  return ReadBack(update);
}

}  // namespace

auto OnUpdateRead(ConfigurationUpdate& update,
                  const std::optional<UpdateObject>& present) -> UpdateStep {
  if (present) {
    update.base = DecodeConfiguration(present->value);
  }
  update.wanted = update.base;
  update.options.edit(update.wanted);
  update.wanted.generation = Generation{ToInteger(update.base.generation) + 1};
  update.wanted.operation = update.options.operation;
  update.wanted.author = update.options.author;
  update.write = UpdateWrite{.if_version = present ? present->version : 0,
                             .operation = update.options.operation,
                             .value = EncodeConfiguration(update.wanted)};
  return update.write;
}

auto OnUpdateWritten(ConfigurationUpdate& update, UpdateWritten answer)
    -> UpdateStep {
  if (answer == UpdateWritten::kAccepted) {
    return Accepted(update);
  }
  if (answer == UpdateWritten::kUnknown) {
    update.may_have_written = true;
    return OnUnknown(update);
  }
  // The winner may be an earlier try of this very write.
  return ReadBack(update);
}

auto OnUpdateReadBack(ConfigurationUpdate& update, const UpdateHistory& history)
    -> UpdateStep {
  if (!history.reached) {
    return OnUnknown(update);
  }
  for (const auto& it : history.changes) {
    if (DecodeConfiguration(it.value).operation == update.options.operation) {
      return Accepted(update);
    }
  }
  if (!history.changes.empty() && !history.gone) {
    return Lost(update, history.changes.front().value);
  }
  if (history.gone && !update.may_have_written) {
    return UpdateDone{.outcome = UpdateOutcome::kConflict,
                      .configuration = {},
                      .value = {},
                      .winner_changes = {}};
  }
  if (history.gone) {
    update.unknown_answers = update.options.max_unknown_answers;
    return OnUnknown(update);
  }
  // Nothing has changed: the write is conditional, so that a repeat and a
  // delayed first try can't both take effect.
  return update.write;
}

auto DescribeChanges(const Configuration& before, const Configuration& after)
    -> std::vector<std::string> {
  const auto old_value = json::parse(EncodeConfiguration(before));
  const auto new_value = json::parse(EncodeConfiguration(after));
  std::vector<std::string> lines;
  DescribeServices(old_value, new_value, lines);
  for (const auto* field : {"draining", "stopping", "resting", "demand"}) {
    DescribeList(field, old_value, new_value, lines);
  }
  return lines;
}

}  // namespace hawthornbank
