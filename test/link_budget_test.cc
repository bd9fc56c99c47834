#include "hawthornbank/link_budget.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/steering.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const Endpoint kUploads{.address = 0xC6120001, .port = 443};
const Endpoint kFeeds{.address = 0xC6120002, .port = 443};
const TimePoint kStart{std::chrono::seconds{1000}};
constexpr std::uint64_t kLink = 1'500'000;  // 12 Mbit/s

}  // namespace

TEST_GROUP(LinkBudget) {
  LinkBudget link{.options = {.bytes_per_second = kLink}, .measured = kStart};
  TimePoint now = kStart;

  void setup() override {
    for (int n = 0; n < 50; ++n) {
      NoteTraffic(link, kFeeds, true, 32);
      NoteTraffic(link, kFeeds, false, 300);
      NoteTraffic(link, kUploads, true, 32);
      NoteTraffic(link, kUploads, false, 80'000);
    }
  }

  // Moves bytes for two seconds, at a share of the link each way.
  auto Move(double received, double sent)->void {
    constexpr auto kStep = 100ms;
    for (int n = 0; n < 20; ++n) {
      now += kStep;
      const double bytes = static_cast<double>(kLink) / 10;
      MeasureLink(link,
                  link.received + static_cast<std::uint64_t>(received * bytes),
                  link.sent + static_cast<std::uint64_t>(sent * bytes), now);
    }
  }
};

TEST(LinkBudget, TheBusierWayCounts) {
  Move(0.2, 0.8);
  DOUBLES_EQUAL(0.8, link.use, 0.01);
  Move(0.5, 0.1);
  DOUBLES_EQUAL(0.5, link.use, 0.01);
}

// Load pattern: a site's uploads come to a balancer with a small link while
// others of its zone are restarted.
TEST(LinkBudget, AFullLinkRefusesAPartOfTheHeavyFlows) {
  Move(0.6, 0.6);
  CHECK_FALSE(RefusesFlow(link, kUploads, 0));
  Move(0.8, 0.8);
  CHECK(RefusesFlow(link, kUploads, 0.49));
  CHECK_FALSE(RefusesFlow(link, kUploads, 0.51));
  Move(1.0, 1.0);
  CHECK(RefusesFlow(link, kUploads, 0.89));
  // Somebody's last try may be among them.
  CHECK_FALSE(RefusesFlow(link, kUploads, 0.91));
}

TEST(LinkBudget, LightFlowsAndUnknownAddressesAreNotRefused) {
  Move(1.0, 1.0);
  CHECK_FALSE(RefusesFlow(link, kFeeds, 0));
  const Endpoint unknown{.address = 1, .port = 1};
  CHECK_FALSE(RefusesFlow(link, unknown, 0));
  NoteTraffic(link, unknown, true, 90'000);
  CHECK_FALSE(RefusesFlow(link, unknown, 0));
}

TEST(LinkBudget, ALinkThatIsNotKnownRefusesNothing) {
  link.options.bytes_per_second = 0;
  Move(9, 9);
  CHECK_FALSE(RefusesFlow(link, kUploads, 0));
}

TEST(LinkBudget, AnAddressThatBecomesLightIsTakenForLight) {
  Move(1.0, 1.0);
  for (int n = 0; n < 1000; ++n) {
    NoteTraffic(link, kUploads, true, 32);
    NoteTraffic(link, kUploads, false, 300);
  }
  CHECK_FALSE(RefusesFlow(link, kUploads, 0));
}

TEST(LinkBudget, MemoryIsBounded) {
  for (std::uint32_t n = 0; n < 10'000; ++n) {
    NoteTraffic(link, Endpoint{.address = n, .port = 1}, true, 32);
  }
  CHECK(link.addresses.size() <= link.options.max_addresses);
}

TEST(LinkBudget, ARefusedOpeningIsResetAtOnceAndItsOpenFlowsGoOn) {
  Move(1.0, 1.0);
  Steering steering{.started = kStart, .link = link};
  steering.fleet.self = {.zone = "a", .incarnation = 1};
  steering.routes = {.version = 1,
                     .routes = {{kUploads, {.shares = {{.service = 7}}}}}};
  MergeRecord(steering.fleet,
              HostRecord{.control = {.address = 9, .port = 7000},
                         .role = HostRole::kAgent,
                         .service = 7,
                         .zone = "a",
                         .incarnation = 1,
                         .target = {.state = TargetState::kReady, .born = 5}},
              0s, now);
  std::vector<SteeringAction> out;
  const std::vector<std::uint8_t> bytes(32);
  std::size_t refused = 0;
  for (std::uint16_t port = 1; port <= 200; ++port) {
    out.clear();
    const FlowPacket packet{.source = {.address = 1, .port = port},
                            .destination = kUploads,
                            .opens = true};
    OnCallerPacket(steering, packet, bytes, now, out);
    LONGS_EQUAL(1, out.size());
    if (out[0].kind == SteeringAction::Kind::kReset) {
      CHECK(out[0].reason == SteeringReason::kLinkFull);
      ++refused;
      continue;
    }
    // A copy and a later packet of a flow that was taken.
    OnCallerPacket(steering, packet, bytes, now, out);
    FlowPacket next = packet;
    next.opens = false;
    OnCallerPacket(steering, next, bytes, now, out);
    LONGS_EQUAL(3, out.size());
    CHECK(out[1].kind == SteeringAction::Kind::kRelay);
    CHECK(out[2].kind == SteeringAction::Kind::kRelay);
  }
  // Nine of ten.
  CHECK(refused > 160 && refused < 195);
}
