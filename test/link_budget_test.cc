#include "hawthornbank/link_budget.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/steering.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const Endpoint kUploadAddress{.address = 0xC6120001, .port = 443};
const Endpoint kFeedAddress{.address = 0xC6120002, .port = 443};
const TimePoint kStart{std::chrono::seconds{1000}};
constexpr std::uint64_t kLinkBytesPerSecond = 1'500'000;  // 12 Mbit/s

}  // namespace

TEST_GROUP(LinkBudget) {
  LinkBudget link{.options = {.bytes_per_second = kLinkBytesPerSecond},
                  .measured_at = kStart};
  TimePoint now = kStart;

  void setup() override {
    for (int n = 0; n < 50; ++n) {
      RecordCallerTraffic(link, kFeedAddress, true, 32);
      RecordCallerTraffic(link, kFeedAddress, false, 300);
      RecordCallerTraffic(link, kUploadAddress, true, 32);
      RecordCallerTraffic(link, kUploadAddress, false, 80'000);
    }
  }

  // Simulates two seconds of traffic at a share of the capacity each way.
  auto SimulateTraffic(double received, double sent)->void {
    constexpr auto kStep = 100ms;
    for (int n = 0; n < 20; ++n) {
      now += kStep;
      const double bytes = static_cast<double>(kLinkBytesPerSecond) / 10;
      UpdateLinkUtilisation(
          link, link.received + static_cast<std::uint64_t>(received * bytes),
          link.sent + static_cast<std::uint64_t>(sent * bytes), now);
    }
  }
};

TEST(LinkBudget, UtilisationFollowsTheBusierDirection) {
  SimulateTraffic(0.2, 0.8);
  DOUBLES_EQUAL(0.8, link.utilisation, 0.01);
  SimulateTraffic(0.5, 0.1);
  DOUBLES_EQUAL(0.5, link.utilisation, 0.01);
}

// Load pattern: a site's uploads reach a balancer with a small link while the
// other balancers of its zone are restarted.
TEST(LinkBudget, FullLinkRefusesAShareOfHeavyFlows) {
  SimulateTraffic(0.6, 0.6);
  CHECK_FALSE(ShouldRefuseFlow(link, kUploadAddress, 0));
  SimulateTraffic(0.8, 0.8);
  CHECK(ShouldRefuseFlow(link, kUploadAddress, 0.49));
  CHECK_FALSE(ShouldRefuseFlow(link, kUploadAddress, 0.51));
  SimulateTraffic(1.0, 1.0);
  CHECK(ShouldRefuseFlow(link, kUploadAddress, 0.89));
  // A share is always accepted, because it may include a caller's last retry.
  CHECK_FALSE(ShouldRefuseFlow(link, kUploadAddress, 0.91));
}

TEST(LinkBudget, LightFlowsAndUnknownAddressesAreNotRefused) {
  SimulateTraffic(1.0, 1.0);
  CHECK_FALSE(ShouldRefuseFlow(link, kFeedAddress, 0));
  const Endpoint unknown{.address = 1, .port = 1};
  CHECK_FALSE(ShouldRefuseFlow(link, unknown, 0));
  RecordCallerTraffic(link, unknown, true, 90'000);
  CHECK_FALSE(ShouldRefuseFlow(link, unknown, 0));
}

TEST(LinkBudget, LinkOfUnknownCapacityRefusesNoFlows) {
  link.options.bytes_per_second = 0;
  SimulateTraffic(9, 9);
  CHECK_FALSE(ShouldRefuseFlow(link, kUploadAddress, 0));
}

TEST(LinkBudget, AddressIsNoLongerHeavyWhenItsFlowsBecomeLight) {
  SimulateTraffic(1.0, 1.0);
  for (int n = 0; n < 1000; ++n) {
    RecordCallerTraffic(link, kUploadAddress, true, 32);
    RecordCallerTraffic(link, kUploadAddress, false, 300);
  }
  CHECK_FALSE(ShouldRefuseFlow(link, kUploadAddress, 0));
}

TEST(LinkBudget, NumberOfTrackedAddressesIsBounded) {
  for (std::uint32_t n = 0; n < 10'000; ++n) {
    RecordCallerTraffic(link, Endpoint{.address = n, .port = 1}, true, 32);
  }
  CHECK(link.addresses.size() <= link.options.max_addresses);
}

TEST(LinkBudget, FullLinkResetsSomeOpeningsAndKeepsAcceptedFlows) {
  SimulateTraffic(1.0, 1.0);
  Steering steering{.started = kStart, .link = link};
  steering.fleet.self = {.zone = "a", .incarnation = 1};
  steering.routes = {
      .version = 1, .routes = {{kUploadAddress, {.shares = {{.service = 7}}}}}};
  MergeHostRecord(
      steering.fleet,
      HostRecord{.control = {.address = 9, .port = 7000},
                 .role = HostRole::kAgent,
                 .service = 7,
                 .zone = "a",
                 .incarnation = 1,
                 .target = {.state = TargetState::kReady, .started_at_ms = 5}},
      0s, now);
  std::vector<SteeringAction> out;
  const std::vector<std::uint8_t> bytes(32);
  std::size_t refused = 0;
  for (std::uint16_t port = 1; port <= 200; ++port) {
    out.clear();
    const FlowPacket packet{.source = {.address = 1, .port = port},
                            .destination = kUploadAddress,
                            .is_opening = true};
    OnCallerPacket(steering, packet, bytes, now, out);
    LONGS_EQUAL(1, out.size());
    if (out[0].kind == SteeringAction::Kind::kReset) {
      CHECK(out[0].reason == SteeringReason::kLinkFull);
      ++refused;
      continue;
    }
    // Send a duplicate opening and a later packet of an accepted flow.
    OnCallerPacket(steering, packet, bytes, now, out);
    FlowPacket next = packet;
    next.is_opening = false;
    OnCallerPacket(steering, next, bytes, now, out);
    LONGS_EQUAL(3, out.size());
    CHECK(out[1].kind == SteeringAction::Kind::kRelay);
    CHECK(out[2].kind == SteeringAction::Kind::kRelay);
  }
  // About nine in ten opening packets are refused.
  CHECK(refused > 160 && refused < 195);
}
