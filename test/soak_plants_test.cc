#include "soak/plants.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "packet_head.h"
#include "soak/operator_events.h"
#include "soak/packets.h"
#include "soak/rules.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

namespace {

const Endpoint kRoute{.address = 0xC6120001, .port = 443};
const FlowKey kKey{.caller = {.address = 0x7F0007FA, .port = 1025},
                   .address = kRoute};

}  // namespace

TEST_GROUP(OperatorEvents){};

TEST(OperatorEvents, ZonesAreOutOneAtATimeAndReturnBeforeTheEnd) {
  CHECK(GenerateZoneOrders(5, 300s, 1).empty());
  const auto orders = GenerateZoneOrders(5, 300s, 3);
  std::set<std::size_t> zones;
  bool is_some_above_bound = false;
  Duration last_end{};
  for (const auto& it : orders) {
    CHECK(it.start_offset > last_end);
    last_end = it.start_offset + it.duration;
    zones.insert(it.zone);
    is_some_above_bound = is_some_above_bound || it.duration > kEvacuationTime;
  }
  CHECK(last_end < 300s && is_some_above_bound);
  LONGS_EQUAL(3, zones.size());
}

TEST(OperatorEvents, RoutesChangeInSeededSeries) {
  CHECK(GenerateRouteChanges(5, 300s, 0).empty());
  const auto changes = GenerateRouteChanges(5, 300s, 2);
  const auto repeated = GenerateRouteChanges(5, 300s, 2);
  CHECK(changes.size() > 20);
  LONGS_EQUAL(changes.size(), repeated.size());
  for (std::size_t n = 0; n < changes.size(); ++n) {
    CHECK(changes[n].start_offset == repeated[n].start_offset &&
          changes[n].route == repeated[n].route && changes[n].route < 2);
  }
}

TEST(OperatorEvents, TargetsLeaveAndAreBackBeforeTheEnd) {
  const auto events = GenerateScaleIns(5, 300s);
  CHECK(events.size() > 20);
  CHECK(GenerateScaleIns(5, 3s).empty());
  bool is_some_above_bound = false;
  for (const auto& it : events) {
    CHECK(it.start_offset + kScaleInDrain + it.away < 300s);
    is_some_above_bound = is_some_above_bound || it.away > kDrainOpeningTime;
  }
  CHECK(is_some_above_bound);
}

TEST_GROUP(Plants){};

TEST(Plants, EachIsFoundByItsNameAndByItsRule) {
  std::set<std::string> rules;
  for (const auto it : GetAllPlants()) {
    CHECK(FindPlants(ToString(it)) == std::set<Plant>{it});
    CHECK(FindPlants(GetBrokenRule(it)).contains(it));
    rules.insert(GetBrokenRule(it));
  }
  CHECK(rules == std::set<std::string>({kMixedRule, kUnaskedRule, kRouteRule,
                                        kDrainRule, kConfigRule, kEvacRule,
                                        kRecoverRule, kFlowRule, kExitRule}));
  CHECK(FindPlants("none").empty());
}

TEST_GROUP(SoakPackets){};

TEST(SoakPackets, ChecksumCoversAllBytesExceptEchoPaddingAndReturnedFlag) {
  const Bytes bytes =
      EncodeFlowPacket(FlowPacket{.source = kKey.caller,
                                  .destination = kRoute,
                                  .has_acknowledgement = true,
                                  .sequence = 5},
                       Payload{.request = 3, .filler_blocks = 1});
  CHECK(HasValidChecksum(bytes));
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    Bytes changed = bytes;
    changed[n] ^= 1U;
    const bool is_free = n == 1 || (n >= 26 && n < 30);
    CHECK(HasValidChecksum(changed) == is_free);
  }
  Bytes delivered = MarkPacketAsReturned(bytes);
  CHECK(HasValidChecksum(delivered));
  platform::PreparePacketForTarget(delivered, 12345);
  CHECK(HasValidChecksum(delivered));
}

TEST(SoakPackets, ResetsOfTheLoadBalancerAreToldFromThoseOfTargets) {
  const auto reset = platform::EncodeResetPacket(kKey, 9);
  CHECK(IsResetByLoadBalancer(reset));
  Bytes changed(reset.begin(), reset.end());
  changed[0] |= 1U;
  CHECK(!IsResetByLoadBalancer(changed) && !HasValidChecksum(changed));
  CHECK(!IsResetByLoadBalancer(
      EncodeFlowPacket(FlowPacket{.is_reset = true}, Payload{})));
}
