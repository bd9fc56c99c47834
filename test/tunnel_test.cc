#include "hawthornbank/tunnel.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

const TunnelKey kKey = {1, 2, 3};
const TunnelKey kOtherKey = {4, 5, 6};

auto MakeSampleHeader() -> TunnelHeader {
  TunnelHeader header{.service = ServiceId{9},
                      .generation = Generation{77},
                      .balancer = {.address = 0x7F000001, .port = 99},
                      .phase = WalkPhase::kSelectTarget,
                      .established = true,
                      .hops = 3,
                      .walk_index = 1,
                      .lowest_load_index = 0,
                      .lowest_load = 12345,
                      .walk_size = 2};
  header.walk[0] = {.address = 1, .port = 2};
  header.walk[1] = {.address = 3, .port = 4};
  return header;
}

auto EncodeTunnelWithSamplePacket(const TunnelHeader& header,
                                  const TunnelKey& key) -> Bytes {
  Bytes buf(200);
  const Bytes packet = {10, 11, 12};
  buf.resize(EncodeTunnelPacket(header, packet, key, buf));
  return buf;
}

}  // namespace

TEST_GROUP(Tunnel){};

TEST(Tunnel, DatagramWithADigestOfAnyAcceptedKeyIsDecoded) {
  const auto buf = EncodeTunnelWithSamplePacket(MakeSampleHeader(), kOtherKey);
  const std::array<TunnelKey, 2> keys = {kKey, kOtherKey};
  const auto decoded = DecodeTunnelPacket(buf, keys);
  CHECK(decoded.has_value());
  CHECK(decoded->header == MakeSampleHeader());
  LONGS_EQUAL(3, decoded->packet.size());
}

TEST(Tunnel, ForgedChangedOrTruncatedDatagramsAreRejected) {
  const std::array<TunnelKey, 1> keys = {kKey};
  CHECK(!DecodeTunnelPacket(
      EncodeTunnelWithSamplePacket(MakeSampleHeader(), kOtherKey), keys));
  const auto whole = EncodeTunnelWithSamplePacket(MakeSampleHeader(), kKey);
  for (std::size_t n = 0; n < whole.size(); ++n) {
    auto changed = whole;
    changed[n] ^= 0x01U;
    CHECK(!DecodeTunnelPacket(changed, keys));
    CHECK(!DecodeTunnelPacket(ByteView(whole).first(n), keys));
  }
}

TEST(Tunnel, EncodingIntoASmallBufferReturnsZero) {
  Bytes buf(10);
  LONGS_EQUAL(0, EncodeTunnelPacket(MakeSampleHeader(), Bytes(5), kKey, buf));
}
