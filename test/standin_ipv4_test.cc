#include "../standins/ipv4.h"

#include <cstring>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::standins;

namespace {

constexpr Endpoint kCaller{.address = 0x7F000001, .port = 40000};
constexpr Endpoint kService{.address = 0x7F000002, .port = 5683};

auto MakePayload() -> std::vector<std::uint8_t> {
  return {1, 2, 3, 4, 5};
}

/// @return An ICMP destination unreachable error that quotes a packet from the
/// caller.
auto BuildUnreachablePacket() -> std::vector<std::uint8_t> {
  const auto quoted = BuildUdpPacket(kCaller, kService, MakePayload());
  auto packet = BuildUdpPacket(kService, kCaller, {});
  packet.resize(kIpv4HeaderBytes);
  packet.insert(packet.end(), {kIcmpUnreachableType, 3, 0, 0, 0, 0, 0, 0});
  packet.insert(packet.end(), quoted.begin(), quoted.begin() + 28);
  packet[9] = kIcmpProtocol;
  packet[3] = static_cast<std::uint8_t>(packet.size());
  packet[10] = packet[11] = 0;
  const auto sum =
      FoldChecksum(AddToChecksum(std::span(packet).first(kIpv4HeaderBytes), 0));
  packet[10] = static_cast<std::uint8_t>(sum >> 8U);
  packet[11] = static_cast<std::uint8_t>(sum);
  return packet;
}

}  // namespace

TEST_GROUP(StandinIpv4){};

TEST(StandinIpv4, HeaderChecksumMatchesTheKnownExample) {
  // IPv4 header whose checksum by RFC 1071 is 0xb861.
  const std::vector<std::uint8_t> header = {
      0x45, 0x00, 0x00, 0x73, 0x00, 0x00, 0x40, 0x00, 0x40, 0x11,
      0x00, 0x00, 0xc0, 0xa8, 0x00, 0x01, 0xc0, 0xa8, 0x00, 0xc7};
  CHECK_EQUAL(0xb861, FoldChecksum(AddToChecksum(header, 0)));
}

TEST(StandinIpv4, PayloadAndEndpointsAreUnchangedByBuildingAndParsing) {
  // The fabric parses packets from the service to the caller.
  const auto packet = BuildUdpPacket(kService, kCaller, MakePayload());
  const auto parsed = ParsePacket(packet);
  CHECK(parsed.kind == PacketKind::kUdp);
  CHECK(parsed.service == kService);
  CHECK(parsed.caller == kCaller);
  CHECK(std::vector(parsed.payload.begin(), parsed.payload.end()) ==
        MakePayload());
}

TEST(StandinIpv4, ChecksumsDetectCorruptionOfAnyByte) {
  const auto packet = BuildUdpPacket(kService, kCaller, MakePayload());
  for (std::size_t n = 0; n < packet.size(); ++n) {
    auto changed = packet;
    changed[n] ^= 0x01;
    CHECK(ParsePacket(changed).kind != PacketKind::kUdp);
  }
}

TEST(StandinIpv4, ParserReportsEveryTruncatedPacketAsMalformed) {
  const auto packet = BuildUdpPacket(kService, kCaller, MakePayload());
  for (std::size_t n = 0; n < packet.size(); ++n) {
    const auto parsed = ParsePacket(std::span(packet).first(n));
    CHECK(parsed.kind == PacketKind::kMalformed);
  }
}

TEST(StandinIpv4, UnreachableErrorYieldsTheCallerAndService) {
  const auto packet = BuildUnreachablePacket();
  const auto parsed = ParsePacket(packet);
  CHECK(parsed.kind == PacketKind::kUnreachable);
  CHECK(parsed.caller == kCaller);
  CHECK(parsed.service == kService);
}
