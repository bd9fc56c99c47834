#include "protocol/status_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/json_list.h"
#include "protocol/log_text.h"

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
  const auto n = it->is_number_unsigned() ? it->get<std::size_t>() : N;
  return n < N ? states.at(n) : "unknown";
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

auto BalancerStatusFromJson(const json& value) -> BalancerStatus {
  return BalancerStatus{
      .name = value.at("name").get<std::string>(),
      .zone = value.value("zone", ""),
      .state = ReadStateName(value, kBalancerStateNames),
      .generation = Generation{value.at("generation").get<std::uint64_t>()},
  };
}

// Parses a status with one of its lists, whose entries are parsed one by one.
auto ParseStatusPage(const std::string& text, std::string_view list)
    -> JsonPage {
  constexpr std::array<std::string_view, 1> kNamePath = {"name"};
  auto page = ParseJsonPage(text, list, kNamePath);
  if (!page.has_value() || !page->has_list) {
    throw Error(ErrorKind::kMalformed,
                "decoding a status failed: no list of " + std::string(list));
  }
  return std::move(*page);
}

// Decodes the entries of a list. One that can't be used is left out and
// described in `skipped`.
template <class Decoder>
auto DecodeEntries(const JsonPage& page, std::string& skipped, Decoder decode)
    -> void {
  constexpr std::size_t kMaxReasonBytes = 160;
  for (const auto& it : page.entries) {
    std::string failure = it.failure;
    try {
      if (it.value.has_value()) {
        decode(*it.value);
      }
    } catch (const json::exception& error) {
      failure = FormatForLog(error.what(), kMaxReasonBytes);
    }
    if (!failure.empty()) {
      AppendSkippedEntry(skipped, it.name, failure);
    }
  }
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
  const auto n = static_cast<std::size_t>(state);
  return n < kTargetStateNames.size() ? kTargetStateNames.at(n) : "unknown";
}

auto GetBalancerStateName(BalancerState state) -> std::string {
  const auto n = static_cast<std::size_t>(state);
  return n < kBalancerStateNames.size() ? kBalancerStateNames.at(n) : "unknown";
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
    const JsonPage targets = ParseStatusPage(text, "targets");
    const json& value = targets.members;
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
    DecodeEntries(targets, status.skipped, [&](const json& it) {
      status.targets.push_back(TargetStatusFromJson(it));
    });
    DecodeEntries(ParseStatusPage(text, "balancers"), status.skipped,
                  [&](const json& it) {
                    status.balancers.push_back(BalancerStatusFromJson(it));
                  });
    return status;
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("decoding a status failed: ") + error.what());
  }
}

}  // namespace hawthornbank
