#include "soak/store_standin.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace hawthornbank::soak {
namespace {

using nlohmann::json;
using transport::HttpServerRequest;
using transport::HttpServerResponse;

constexpr std::string_view kObjectsPath = "/api/objects/";
constexpr std::string_view kAfterQuery = "?after=";

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

using Objects = std::map<std::string, json>;  // By name.

// Adds the entries of another writer: configurations of older versions, and
// orders for zones that nobody has.
auto AddOtherEntries(const StoreStandin& store,
                     const std::string& kind,
                     Objects& objects) -> void {
  for (std::size_t n = 0; n < store.other_entries; ++n) {
    const std::string name = fmt::format("A-{:03}", n);
    objects[name] = {{"meta", {{"name", name}, {"revision", 1}}},
                     {"spec", json::object()}};
    if (kind == "config") {
      objects[name]["spec"] = {{"version", 0}, {"routes", json::array()}};
    }
  }
}

auto CollectObjects(const StoreStandin& store, const std::string& kind)
    -> Objects {
  Objects objects;
  if (kind == "config" || kind == "evacuations") {
    AddOtherEntries(store, kind, objects);
  }
  if (kind == "config" && store.routes_version != 0) {
    objects["main"] = MakeConfigurationObject(store);
  }
  if (kind == "evacuations") {
    for (const auto& it : store.zones_out) {
      objects[it] = {{"meta", {{"name", it}, {"revision", store.revision}}},
                     {"spec", json::object()}};
    }
  }
  const auto it = store.load_balancer_objects.find(kind);
  if (it != store.load_balancer_objects.end()) {
    for (const auto& [name, text] : it->second) {
      objects[name] = json::parse(text);
    }
  }
  return objects;
}

// Lists the objects after a name; the names that are listed need no decoding.
auto ListObjects(const StoreStandin& store,
                 const std::string& kind,
                 const std::string& after) -> HttpServerResponse {
  const Objects objects = CollectObjects(store, kind);
  json items = json::array();
  auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
  for (; it != objects.end() && items.size() < store.page_entries; ++it) {
    items.push_back(it->second);
  }
  const json reply = {{"items", items},
                      {"has_more", it != objects.end()},
                      {"as_of", store.revision}};
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
    const auto query = call.target.find(kAfterQuery);
    return ListObjects(store, kind,
                       query == std::string::npos
                           ? std::string{}
                           : call.target.substr(query + kAfterQuery.size()));
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
