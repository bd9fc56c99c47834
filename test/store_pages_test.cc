#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "transport/http_server.h"

// Runs a balancer of the program `hawthornnode` on loopback with a stand-in of
// the platform's store that answers lists in pages of two entries. Each test
// guards against the fault of docs/incidents/lists-read-in-part.md: what the
// operator has written isn't followed while other writers' entries come first.

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr std::uint32_t kStoreHost = 0x7F000206;
constexpr std::uint32_t kBalancerHost = 0x7F000207;
constexpr std::size_t kPageEntries = 2;
// Timeout of a step of a test, far longer than any step takes.
constexpr auto kStepTimeout = 30s;

auto MakeConfiguration(int version) -> json {
  return {{"version", version},
          {"routes",
           {{{"name", "r"},
             {"host", "198.18.0.1"},
             {"path_prefix", "/443/"},
             {"service", "s"}}}}};
}

// Returns the value of `after` in a target; such names need no decoding here.
auto FindAfter(const std::string& target) -> std::string {
  const std::string field = "?after=";
  const auto at = target.find(field);
  return at == std::string::npos ? "" : target.substr(at + field.size());
}

}  // namespace

TEST_GROUP(StorePages) {
  soak::HostPorts ports = soak::FindFreePorts(kStoreHost);
  asio::io_context io;
  std::unique_ptr<HttpServer> store;
  int revision = 9;
  std::map<std::string, std::map<std::string, json>> objects;  // By kind, name.
  std::unique_ptr<soak::NodeProcess> balancer;

  void setup() override {
    store = std::make_unique<HttpServer>(
        io, Endpoint{.address = kStoreHost, .port = ports.store},
        [this](const HttpServerRequest& call) { return List(call.target); });
  }

  void teardown() override {
    balancer.reset();
  }

  auto List(const std::string& target)->HttpServerResponse {
    const std::string path = target.substr(0, target.find('?'));
    const std::string kind = path.substr(path.rfind('/') + 1);
    const std::string after = FindAfter(target);
    json items = json::array();
    bool has_more = false;
    for (const auto& [name, spec] : objects[kind]) {
      if (!after.empty() && name <= after) {
        continue;
      }
      has_more = items.size() == kPageEntries;
      if (has_more) {
        break;
      }
      items.push_back(
          {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", spec}});
    }
    const json reply = {
        {"items", items}, {"has_more", has_more}, {"as_of", revision}};
    return HttpServerResponse{.body = reply.dump()};
  }

  auto StartBalancer()->void {
    std::string text = soak::FormatNodeSettings(
        ports, soak::NodeParameters{
                   .name = "pages",
                   .host = kBalancerHost,
                   .seed_hosts = {kBalancerHost},
                   .store = {.address = kStoreHost, .port = ports.store},
                   .zone = "a"});
    const std::string bounds = "[bounds]\n";
    text.insert(text.find(bounds) + bounds.size(), "evacuate_ms = 5000\n");
    text += "\n[zones]\na = \"r\"\nzone-b = \"r\"\n";
    balancer = std::make_unique<soak::NodeProcess>(HAWTHORNNODE, text, "pages");
  }

  auto WaitForLine(const std::string& line)->bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (balancer->ReadLogFile().find(line) == std::string::npos) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      io.run_for(50ms);
      io.restart();
    }
    return true;
  }
};

TEST(StorePages, ConfigurationOnAFurtherPageIsInForce) {
  for (int n = 1; n <= 5; ++n) {
    objects["config"]["archive-" + std::to_string(n)] = MakeConfiguration(n);
  }
  objects["config"]["main"] = MakeConfiguration(7);
  StartBalancer();
  CHECK(WaitForLine("routes_in_force version=7 "));
  objects["config"]["main"] = MakeConfiguration(8);
  revision = 10;
  CHECK(WaitForLine("routes_in_force version=8 "));
}

TEST(StorePages, ZoneOnAFurtherPageIsOutOfService) {
  for (const auto* const it : {"area-1", "area-2", "area-3", "zone-b"}) {
    objects["evacuations"][it] = json::object();
  }
  StartBalancer();
  CHECK(
      WaitForLine("zones_out_of_service era=0 revision=9 "
                  "zones=\"area-1,area-2,area-3,zone-b\""));
}

// More entries than the set of zones out of service can hold.
TEST(StorePages, ZoneAfterManyOtherNamesIsOutOfService) {
  for (int n = 10; n < 50; ++n) {
    objects["evacuations"]["area-" + std::to_string(n)] = json::object();
  }
  objects["evacuations"]["zone-b"] = json::object();
  StartBalancer();
  CHECK(WaitForLine(",area-40,zone-b\" without_hosts="));
}

// A name that can't be read ends the list, which then doesn't count as read.
TEST(StorePages, ListThatCannotBeReadToItsEndIsReported) {
  for (int n = 100; n < 400; ++n) {
    objects["config"]["archive-" + std::to_string(n)] = MakeConfiguration(n);
  }
  objects["config"]["main"] = MakeConfiguration(7);
  StartBalancer();
  CHECK(WaitForLine("list not read to its end"));
}
