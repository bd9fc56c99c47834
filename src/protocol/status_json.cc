#include "protocol/status_json.h"

#include <array>
#include <nlohmann/json.hpp>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> kTargetStates = {
    "serving", "draining", "suspect", "dead", "left"};
constexpr std::array<const char*, 4> kBalancerStates = {"alive", "suspect",
                                                        "dead", "left"};

/// Reads a state that is a word, or the number that stands for one.
template <std::size_t N>
auto ReadState(const json& value, const std::array<const char*, N>& states)
    -> std::string {
  const auto it = value.find("state");
  if (it == value.end()) {
    return states[0];
  }
  if (it->is_string()) {
    return it->get<std::string>();
  }
  const auto n = it->get<std::size_t>();
  return n < N ? states[n] : "unknown";
}

auto TargetFromJson(const json& value) -> TargetStatus {
  return TargetStatus{
      .name = value.at("name").get<std::string>(),
      .service = value.at("service").get<std::string>(),
      .zone = value.value("zone", ""),
      .state = ReadState(value, kTargetStates),
      .connections = value.at("connections").get<std::uint64_t>(),
      .slots_busy = value.at("slots_busy").get<std::uint64_t>(),
  };
}

auto HostsToJson(const HostsStatus& hosts) -> json {
  return json{{"root", hosts.root},
              {"generation", ToInteger(hosts.generation)},
              {"total", hosts.total},
              {"in_force", hosts.in_force},
              {"lagging", hosts.lagging}};
}

/// Processes of an earlier version sum nothing up.
auto HostsFromJson(const json& value) -> HostsStatus {
  const auto it = value.find("hosts");
  if (it == value.end()) {
    return {};
  }
  return HostsStatus{
      .root = it->at("root").get<std::string>(),
      .generation = Generation{it->at("generation").get<std::uint64_t>()},
      .total = it->at("total").get<std::uint64_t>(),
      .in_force = it->at("in_force").get<std::uint64_t>(),
      .lagging = it->at("lagging").get<std::vector<std::string>>()};
}

}  // namespace

auto StateName(TargetState state) -> std::string {
  return kTargetStates.at(static_cast<std::size_t>(state));
}

auto StateName(BalancerState state) -> std::string {
  return kBalancerStates.at(static_cast<std::size_t>(state));
}

auto EncodeStatus(const ProcessStatus& status) -> std::string {
  json targets = json::array();
  for (const auto& it : status.targets) {
    targets.push_back(json{{"name", it.name},
                           {"service", it.service},
                           {"zone", it.zone},
                           {"state", it.state},
                           {"connections", it.connections},
                           {"slots_busy", it.slots_busy}});
  }
  json balancers = json::array();
  for (const auto& it : status.balancers) {
    balancers.push_back(json{{"name", it.name},
                             {"zone", it.zone},
                             {"state", it.state},
                             {"generation", ToInteger(it.generation)}});
  }
  return json{{"role", status.role},
              {"name", status.name},
              {"zone", status.zone},
              {"generation", ToInteger(status.generation)},
              {"confirmed", status.confirmed},
              {"targets", targets},
              {"balancers", balancers},
              {"hosts", HostsToJson(status.hosts)},
              {"counters", status.counters}}
      .dump();
}

auto DecodeStatus(const std::string& text) -> ProcessStatus {
  try {
    const auto value = json::parse(text);
    ProcessStatus status{
        .role = value.at("role").get<std::string>(),
        .name = value.at("name").get<std::string>(),
        .zone = value.at("zone").get<std::string>(),
        .generation = Generation{value.at("generation").get<std::uint64_t>()},
        .confirmed = value.at("confirmed").get<bool>(),
        .hosts = HostsFromJson(value),
        .counters =
            value.at("counters").get<std::map<std::string, std::uint64_t>>(),
    };
    for (const auto& it : value.at("targets")) {
      status.targets.push_back(TargetFromJson(it));
    }
    for (const auto& it : value.at("balancers")) {
      status.balancers.push_back(BalancerStatus{
          .name = it.at("name").get<std::string>(),
          .zone = it.value("zone", ""),
          .state = ReadState(it, kBalancerStates),
          .generation = Generation{it.at("generation").get<std::uint64_t>()},
      });
    }
    return status;
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed, std::string("status: ") + error.what());
  }
}

}  // namespace hawthornbank
