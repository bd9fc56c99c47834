#include "hawthornbank/host_registry.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto At(std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A000000 + n, .port = 7000};
}

}  // namespace

TEST_GROUP(HostRegistry) {
  Fleet fleet{.self = {.control = At(1)}};

  auto Hear(std::uint32_t n, HostRole role, Duration age)->void {
    MergeRecord(fleet,
                HostRecord{.control = At(n), .role = role, .incarnation = 1},
                age, kNow);
  }
};

TEST(HostRegistry, EntriesThatTheStoreLostAreAddedAgain) {
  Hear(2, HostRole::kBalancer, 0s);
  Hear(3, HostRole::kBalancer, 5s);  // Silent: it may be gone.
  Hear(4, HostRole::kAgent, 0s);
  const auto change = PlanRegistry({}, fleet, 5s, kNow);
  CHECK(change.add == (std::vector<Endpoint>{At(1), At(2)}));
  CHECK(change.remove.empty());
}

TEST(HostRegistry, NothingIsDoneWhenAllAreListed) {
  const std::vector<Endpoint> listed = {At(1)};
  const auto change = PlanRegistry(listed, fleet, 200s, kNow);
  CHECK(change.add.empty());
  CHECK(change.remove.empty());
}

TEST(HostRegistry, OnlyAReaderOfLongStandingRemovesEntries) {
  const std::vector<Endpoint> listed = {At(1), At(9)};
  CHECK(PlanRegistry(listed, fleet, 30s, kNow).remove.empty());
  const auto change = PlanRegistry(listed, fleet, 100s, kNow);
  CHECK(change.remove == std::vector<Endpoint>{At(9)});
}

TEST(HostRegistry, ALeavingProcessIsNotListed) {
  fleet.self.leaving = true;
  CHECK(PlanRegistry({}, fleet, 5s, kNow).add.empty());
}
