#include "protocol/status_json.h"

#include <array>
#include <nlohmann/json.hpp>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> kTargetStateNames = {
    "serving", "draining", "suspect", "dead", "left"};
constexpr std::array<const char*, 4> kBalancerStateNames = {"alive", "suspect",
                                                            "dead", "left"};

/// Reads the field "state", which holds the name of a state or an index into
/// `states`. A missing field stands for the first state.
template <std::size_t N>
auto ReadStateName(const json& value, const std::array<const char*, N>& states)
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

auto TargetStatusFromJson(const json& value) -> TargetStatus {
  return TargetStatus{
      .name = value.at("name").get<std::string>(),
      .service = value.at("service").get<std::string>(),
      .zone = value.value("zone", ""),
      .state = ReadStateName(value, kTargetStateNames),
      .connections = value.at("connections").get<std::uint64_t>(),
      .slots_busy = value.at("slots_busy").get<std::uint64_t>(),
  };
}

auto HostsStatusToJson(const HostsStatus& hosts) -> json {
  return json{{"root", hosts.root},
              {"generation", ToInteger(hosts.generation)},
              {"total", hosts.total},
              {"in_force", hosts.in_force},
              {"lagging", hosts.lagging}};
}

/// Reads the field "hosts", which processes of an earlier version don't send.
auto HostsStatusFromJson(const json& value) -> HostsStatus {
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

auto GetTargetStateName(TargetState state) -> std::string {
  return kTargetStateNames.at(static_cast<std::size_t>(state));
}

auto GetBalancerStateName(BalancerState state) -> std::string {
  return kBalancerStateNames.at(static_cast<std::size_t>(state));
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
              {"hosts", HostsStatusToJson(status.hosts)},
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
        .hosts = HostsStatusFromJson(value),
        .counters =
            value.at("counters").get<std::map<std::string, std::uint64_t>>(),
    };
    for (const auto& it : value.at("targets")) {
      status.targets.push_back(TargetStatusFromJson(it));
    }
    for (const auto& it : value.at("balancers")) {
      status.balancers.push_back(BalancerStatus{
          .name = it.at("name").get<std::string>(),
          .zone = it.value("zone", ""),
          .state = ReadStateName(it, kBalancerStateNames),
          .generation = Generation{it.at("generation").get<std::uint64_t>()},
      });
    }
    return status;
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("decoding a status failed: ") + error.what());
  }
}

}  // namespace hawthornbank
