#include "transport/node_traffic.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace hawthornbank::transport;

TEST_GROUP(NodeTraffic) {
  NodeTraffic traffic;

  auto HasLine(const std::string& line) const->bool {
    return FormatTrafficMetrics(traffic).find(line + "\n") != std::string::npos;
  }
};

TEST(NodeTraffic, DatagramsAreCountedByKindDirectionAndZone) {
  CountDatagram(traffic, DatagramKind::kRoster, Direction::kSent,
                ZoneScope::kOtherZone, 72);
  CountDatagram(traffic, DatagramKind::kRoster, Direction::kSent,
                ZoneScope::kOtherZone, 72);
  CountDatagram(traffic, DatagramKind::kFlowReply, Direction::kReceived,
                ZoneScope::kSameZone, 32);
  CHECK(
      HasLine("hawthornbank_node_datagrams_total{kind=\"roster\",way=\"out\","
              "zone=\"other\"} 2"));
  CHECK(
      HasLine("hawthornbank_node_bytes_total{kind=\"roster\",way=\"out\","
              "zone=\"other\"} 200"));
  CHECK(
      HasLine("hawthornbank_node_bytes_total{kind=\"reply\",way=\"in\","
              "zone=\"same\"} 60"));
}

TEST(NodeTraffic, CarriedPacketsAreNoControlTraffic) {
  CountDatagram(traffic, DatagramKind::kRelayedPacket, Direction::kSent,
                ZoneScope::kSameZone, 1200);
  CountDatagram(traffic, DatagramKind::kReturnedPacket, Direction::kSent,
                ZoneScope::kSameZone, 1200);
  CountDatagram(traffic, DatagramKind::kFlowQuery, Direction::kSent,
                ZoneScope::kSameZone, 32);
  CountDatagram(traffic, DatagramKind::kAnnouncement, Direction::kReceived,
                ZoneScope::kSameZone, 72);
  LONGS_EQUAL(1, SumControlTraffic(traffic, Direction::kSent).datagrams);
  LONGS_EQUAL(60, SumControlTraffic(traffic, Direction::kSent).bytes);
  LONGS_EQUAL(100, SumControlTraffic(traffic, Direction::kReceived).bytes);
}
