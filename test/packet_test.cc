#include "hawthornbank/packet.h"

#include "protocol/byte_order.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

const Endpoint kCaller{.address = 0x7F000002, .port = 40000};
const Endpoint kService{.address = 0x7F000001, .port = 5683};

// Builds a TCP packet with the given flags and no payload.
auto BuildTcpPacket(std::uint8_t flags) -> Bytes {
  Bytes buf = BuildUdpPacket(kCaller, kService, Bytes(12, 0));
  buf[9] = 6;
  buf[kIpv4HeaderBytes + 12] = 0x50;
  buf[kIpv4HeaderBytes + 13] = flags;
  return buf;
}

auto ParsePacketKind(const Bytes& buf) -> PacketKind {
  return ParsePacket(buf).kind;
}

}  // namespace

TEST_GROUP(Packet){};

TEST(Packet, UdpRoundTripKeepsEndpointsAndPayload) {
  const Bytes payload = {1, 2, 3};
  const Bytes buf = BuildUdpPacket(kCaller, kService, payload);
  const auto view = ParsePacket(buf);
  CHECK(view.kind == PacketKind::kData);
  CHECK(view.source == kCaller);
  CHECK(view.destination == kService);
  CHECK(Bytes(view.payload.begin(), view.payload.end()) == payload);
}

TEST(Packet, TcpFlagsDetermineThePacketKind) {
  CHECK(ParsePacketKind(BuildTcpPacket(0x02)) == PacketKind::kOpening);
  CHECK(ParsePacketKind(BuildTcpPacket(0x12)) == PacketKind::kData);
  CHECK(ParsePacketKind(BuildTcpPacket(0x10)) == PacketKind::kData);
  CHECK(ParsePacketKind(BuildTcpPacket(0x11)) == PacketKind::kFinish);
  CHECK(ParsePacketKind(BuildTcpPacket(0x04)) == PacketKind::kReset);
}

TEST(Packet, OnlyFirstFragmentsAreAnsweredWithFragmentationNeeded) {
  Bytes buf = BuildUdpPacket(kCaller, kService, Bytes(32, 7));
  buf[6] = 0x20;
  CHECK(ParsePacketKind(buf) == PacketKind::kFragment);
  CHECK(!BuildFragmentationNeededError(ParsePacket(buf)).empty());
  buf[6] = 0x00;
  buf[7] = 0x04;
  CHECK(ParsePacketKind(buf) == PacketKind::kFragment);
  CHECK(BuildFragmentationNeededError(ParsePacket(buf)).empty());
  CHECK(BuildFlowReset(ParsePacket(buf)).empty());
}

TEST(Packet, IcmpErrorBelongsToTheQuotedFlow) {
  // The caller's host rejects the target's response with an ICMP error.
  const Bytes response = BuildUdpPacket(kService, kCaller, Bytes(4, 0));
  const Bytes icmp = BuildFlowReset(ParsePacket(response));
  const auto view = ParsePacket(icmp);
  CHECK(view.kind == PacketKind::kIcmpError);
  CHECK(view.source == kCaller);
  CHECK(view.destination == kService);
  CHECK(BuildFlowReset(view).empty());
}

TEST(Packet, TcpResetUsesTheCallersAcknowledgementNumber) {
  Bytes buf = BuildTcpPacket(0x10);
  detail::StoreBigEndian32(buf.data() + kIpv4HeaderBytes + 8, 0x01020304);
  const Bytes reset = BuildFlowReset(ParsePacket(buf));
  const auto view = ParsePacket(reset);
  CHECK(view.kind == PacketKind::kReset);
  CHECK(view.source == kService);
  CHECK(view.destination == kCaller);
  LONGS_EQUAL(0x01020304,
              detail::LoadBigEndian32(reset.data() + kIpv4HeaderBytes + 4));
  CHECK(BuildFlowReset(view).empty());
}

TEST(Packet, TruncatedPacketsAreMalformed) {
  for (const auto& whole :
       {BuildUdpPacket(kCaller, kService, Bytes(16, 1)), BuildTcpPacket(0x10),
        BuildFlowReset(
            ParsePacket(BuildUdpPacket(kService, kCaller, Bytes(4, 0))))}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      const Bytes part(whole.begin(),
                       whole.begin() + static_cast<std::ptrdiff_t>(n));
      CHECK(ParsePacketKind(part) == PacketKind::kMalformed);
    }
  }
}
