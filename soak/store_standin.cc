#include "soak/store_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hawthornbank::soak {
namespace {

using nlohmann::json;
using transport::HttpServerRequest;
using transport::HttpServerResponse;

constexpr std::string_view kObjectsPath = "/api/objects/";

auto MakeConfigurationObject(const StoreStandin& store) -> json {
  json routes = json::array();
  for (const auto& it : store.routes) {
    const std::string text = ToString(it.address);
    routes.push_back(
        {{"name", text},
         {"host", text.substr(0, text.find(':'))},
         {"path_prefix", '/' + text.substr(text.find(':') + 1) + '/'},
         {"service", it.service}});
  }
  json spec = {{"version", store.routes_version}, {"routes", routes}};
  if (store.idle_timeout.count() != 0) {
    spec["limits"] = {{"idle_timeout_ms", store.idle_timeout.count()}};
  }
  return {{"meta", {{"name", "main"}, {"revision", store.revision}}},
          {"spec", spec}};
}

auto ListObjects(const StoreStandin& store, const std::string& kind)
    -> HttpServerResponse {
  json items = json::array();
  if (kind == "config" && store.routes_version != 0) {
    items.push_back(MakeConfigurationObject(store));
  }
  if (kind == "evacuations") {
    for (const auto& it : store.zones_out) {
      items.push_back({{"meta", {{"name", it}, {"revision", store.revision}}},
                       {"spec", json::object()}});
    }
  }
  const auto it = store.load_balancer_objects.find(kind);
  if (it != store.load_balancer_objects.end()) {
    for (const auto& [name, text] : it->second) {
      items.push_back(json::parse(text));
    }
  }
  const json reply = {
      {"items", items}, {"has_more", false}, {"as_of", store.revision}};
  return HttpServerResponse{.body = reply.dump()};
}

auto CreateObject(StoreStandin& store,
                  const std::string& kind,
                  const std::string& body) -> HttpServerResponse {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return HttpServerResponse{.status = 400, .body = "{}"};
  }
  const auto name = object["meta"]["name"].get<std::string>();
  if (!store.load_balancer_objects[kind].emplace(name, body).second) {
    return HttpServerResponse{.status = 409, .body = "{}"};
  }
  ++store.revision;
  return HttpServerResponse{.status = 201, .body = body};
}

auto RemoveObject(StoreStandin& store,
                  const std::string& kind,
                  const std::string& name) -> HttpServerResponse {
  if (store.load_balancer_objects[kind].erase(name) == 0) {
    return HttpServerResponse{.status = 404, .body = "{}"};
  }
  ++store.revision;
  return HttpServerResponse{.body = "{}"};
}

}  // namespace

auto ReplaceRoutes(StoreStandin& store, std::vector<StoredRoute> routes)
    -> std::uint64_t {
  store.routes = std::move(routes);
  ++store.revision;
  return store.routes_version += 2;
}

auto SetZoneOutOfService(StoreStandin& store,
                         const std::string& zone,
                         bool is_out) -> void {
  if (is_out) {
    store.zones_out.insert(zone);
  } else {
    store.zones_out.erase(zone);
  }
  ++store.revision;
}

auto EraseLoadBalancerObjects(StoreStandin& store) -> void {
  store.load_balancer_objects.clear();
  ++store.revision;
}

auto ExecuteStoreCall(StoreStandin& store, const HttpServerRequest& call)
    -> HttpServerResponse {
  if (store.is_busy) {
    return HttpServerResponse{.status = 503, .body = "{}"};
  }
  const std::string path = call.target.substr(0, call.target.find('?'));
  if (!path.starts_with(kObjectsPath)) {
    return HttpServerResponse{.status = 404, .body = "{}"};
  }
  const std::string rest = path.substr(kObjectsPath.size());
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  if (call.method == "GET" && slash == std::string::npos) {
    return ListObjects(store, kind);
  }
  if (call.method == "POST" && slash == std::string::npos) {
    return CreateObject(store, kind, call.body);
  }
  if (call.method == "DELETE" && slash != std::string::npos) {
    return RemoveObject(store, kind, rest.substr(slash + 1));
  }
  return HttpServerResponse{.status = 404, .body = "{}"};
}

}  // namespace hawthornbank::soak
