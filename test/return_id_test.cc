#include <CppUTest/TestHarness.h>

#include <set>

#include "hawthornbank/target_flows.h"

// Ids by which an agent tells the packets that its target returns.

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = TargetAction::Kind;

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeTarget(std::uint64_t seed) -> TargetFlows {
  return TargetFlows{.status = {.state = TargetState::kReady,
                                .started_at_ms = 500,
                                .slots = 300},
                     .averaged_at = kNow,
                     .random = Random{seed}};
}

auto MakeOpening(std::uint16_t port) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = {.address = 0xC6120001, .port = 443},
                    .is_opening = true};
}

// Returns the return id of the opening.
auto DeliverOpening(TargetFlows& target, std::uint16_t port) -> std::uint32_t {
  std::vector<TargetAction> out;
  OnRelayedPacket(target,
                  RelayHeader{.origin = {.address = 0x0A000001, .port = 7000},
                              .is_last_candidate = true},
                  MakeOpening(port), {}, kNow, out);
  CHECK(out.at(0).kind == Kind::kDeliver);
  return out.at(0).return_id;
}

}  // namespace

TEST_GROUP(ReturnId){};

// Guards against a packet that goes to the balancer of another flow, as it was
// delivered before the agent restarted and returned after that.
TEST(ReturnId, PacketOfAnEarlierProcessIsOfNoFlowOfThePresentOne) {
  TargetFlows earlier = MakeTarget(1);
  TargetFlows present = MakeTarget(2);
  for (std::uint16_t port = 1; port <= kReturnablePackets; ++port) {
    FlowPacket returned = MakeOpening(port);
    returned.is_returned = true;
    returned.return_id = DeliverOpening(earlier, port);
    DeliverOpening(present, 1000 + port);
    std::vector<TargetAction> out;
    OnTargetPacket(present, returned, kNow, out);
    LONGS_EQUAL(1, out.size());
    CHECK(out[0].kind == Kind::kDrop);
  }
}

TEST(ReturnId, IdsDifferAndAreNeverZero) {
  TargetFlows target = MakeTarget(3);
  DeliverOpening(target, 1);
  target.next_return_id = 0xFFFFFF00;
  std::set<std::uint32_t> ids;
  for (std::uint16_t port = 2; port < 602; ++port) {
    ids.insert(DeliverOpening(target, port));
  }
  LONGS_EQUAL(600, ids.size());
  CHECK_FALSE(ids.contains(0));
}
