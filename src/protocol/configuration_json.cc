#include <algorithm>
#include <nlohmann/json.hpp>

#include "hawthornbank/configuration.h"
#include "hawthornbank/error.h"
#include "protocol/json_list.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

auto ServiceToJson(const Service& service) -> json {
  return json{
      {"id", ToInteger(service.id)},
      {"name", service.name},
      {"transport", service.transport == Transport::kTcp ? "tcp" : "udp"},
      {"address", ToString(service.address)},
      {"zones", service.zones},
      {"slots", service.slots},
      {"max_connections", service.max_connections},
      {"target_count", service.target_count},
      {"weight", service.weight},
      {"non_idempotent_counts_double", service.non_idempotent_counts_double},
      {"drain_limit_s", service.drain_limit.count()},
  };
}

auto TransportFromJson(const json& value) -> Transport {
  const auto text = value.get<std::string>();
  if (text != "tcp" && text != "udp") {
    throw Error(ErrorKind::kMalformed,
                "transport '" + text + "' is unknown: expected 'tcp' or 'udp'");
  }
  return text == "tcp" ? Transport::kTcp : Transport::kUdp;
}

auto ServiceFromJson(const json& value) -> Service {
  return Service{
      .id = ServiceId{value.at("id").get<std::uint32_t>()},
      .name = value.at("name").get<std::string>(),
      .transport = TransportFromJson(value.at("transport")),
      .address = ParseEndpoint(value.at("address").get<std::string>()),
      .zones = value.at("zones").get<std::vector<std::string>>(),
      .slots = value.at("slots").get<std::uint32_t>(),
      .max_connections = value.at("max_connections").get<std::uint32_t>(),
      .target_count = value.at("target_count").get<std::uint32_t>(),
      .weight = value.at("weight").get<std::uint32_t>(),
      .non_idempotent_counts_double =
          value.at("non_idempotent_counts_double").get<bool>(),
      .drain_limit =
          std::chrono::seconds{value.at("drain_limit_s").get<std::int64_t>()},
  };
}

auto DemandRowToJson(const DemandRow& row) -> json {
  json value{{"service", ToInteger(row.service)},
             {"day", row.day},
             {"start_min", row.start.count()},
             {"requests_per_second", row.requests_per_second}};
  if (!row.zones.empty()) {
    value["zones"] = row.zones;
  }
  return value;
}

auto DemandRowFromJson(const json& value) -> DemandRow {
  return DemandRow{
      .service = ServiceId{value.at("service").get<std::uint32_t>()},
      .day = value.at("day").get<std::string>(),
      .start = std::chrono::minutes{value.at("start_min").get<std::int64_t>()},
      .requests_per_second = value.at("requests_per_second").get<double>(),
      .zones = value.value("zones", std::vector<std::string>{}),
  };
}

}  // namespace

auto EncodeConfiguration(const Configuration& configuration) -> std::string {
  json services = json::array();
  for (const auto& service : configuration.services) {
    services.push_back(ServiceToJson(service));
  }
  json demand = json::array();
  for (const auto& row : configuration.demand) {
    demand.push_back(DemandRowToJson(row));
  }
  return json{{"generation", ToInteger(configuration.generation)},
              {"operation", configuration.operation},
              {"author", configuration.author},
              {"services", services},
              {"draining", configuration.draining},
              {"stopping", configuration.stopping},
              {"resting", configuration.resting},
              {"plan_epoch", ToInteger(configuration.plan_epoch)},
              {"demand", demand},
              {"last_service_id", configuration.last_service_id}}
      .dump();
}

auto DecodeConfiguration(const std::string& text) -> Configuration {
  try {
    const auto value = ParseJsonEntry(text);
    Configuration configuration{
        .generation = Generation{value.at("generation").get<std::uint64_t>()},
        .operation = value.at("operation").get<std::string>(),
        .author = value.at("author").get<std::string>(),
        .draining = value.at("draining").get<std::vector<std::string>>(),
        .stopping = value.at("stopping").get<std::vector<std::string>>(),
        // Configurations stored by software that didn't execute the plan lack
        // `resting` and `plan_epoch`.
        .resting = value.value("resting", std::vector<std::string>{}),
        .plan_epoch = Epoch{value.value("plan_epoch", std::uint64_t{0})},
        .last_service_id = value.at("last_service_id").get<std::uint32_t>(),
    };
    for (const auto& it : value.at("services")) {
      configuration.services.push_back(ServiceFromJson(it));
    }
    for (const auto& it : value.at("demand")) {
      configuration.demand.push_back(DemandRowFromJson(it));
    }
    return configuration;
  } catch (const json::exception& error) {
    throw Error(
        ErrorKind::kMalformed,
        std::string("decoding a configuration failed: ") + error.what());
  }
}

auto FindService(const Configuration& configuration, const std::string& name)
    -> const Service* {
  const auto it = std::find_if(
      configuration.services.begin(), configuration.services.end(),
      [&name](const Service& service) { return service.name == name; });
  return it == configuration.services.end() ? nullptr : &*it;
}

}  // namespace hawthornbank
