#include "protocol/node_message.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/random.h"

using namespace hawthornbank;

namespace {

auto MakeHostRecord(std::uint32_t n) -> HostRecord {
  return HostRecord{.control = {.address = 0x0A000000 + n, .port = 7000},
                    .role = HostRole::kAgent,
                    .service = 77,
                    .zone = "depot-north",
                    .incarnation = 1777777777777,
                    .revision = 3,
                    .target = {.state = TargetState::kReady,
                               .started_at_ms = 1777777777000,
                               .slots = 3}};
}

}  // namespace

TEST_GROUP(NodeMessage){};

TEST(NodeMessage, HostAnnouncementRoundTripKeepsItsFields) {
  const HostAnnouncement sent{.record = MakeHostRecord(1),
                              .load = {.running = 2, .flows = 40},
                              .roster_digest = 99,
                              .routes = {.version = 7, .age_ms = 120}};
  const auto datagram = EncodeNodeMessage(sent);
  const auto message = DecodeNodeMessage(datagram);
  CHECK(message.has_value());
  const auto& received = std::get<HostAnnouncement>(*message);
  CHECK(received.record == sent.record);
  LONGS_EQUAL(40, received.load.flows);
  LONGS_EQUAL(120, received.routes.age_ms);
}

TEST(NodeMessage, AnnouncementOfAnEarlierBuildHasNoUptime) {
  HostAnnouncement sent{.record = MakeHostRecord(1)};
  const auto earlier = EncodeNodeMessage(sent);
  CHECK_FALSE(
      std::get<HostAnnouncement>(*DecodeNodeMessage(earlier)).uptime_ms);
  sent.uptime_ms = 90'000;
  const auto datagram = EncodeNodeMessage(sent);
  LONGS_EQUAL(90'000, std::get<HostAnnouncement>(*DecodeNodeMessage(datagram))
                          .uptime_ms.value());
  CHECK(std::equal(earlier.begin(), earlier.end(), datagram.begin()));
}

TEST(NodeMessage, FullRosterPartFitsOneDatagram) {
  RosterPart part;
  for (std::uint32_t n = 0; n < kMaxRecordsPerRosterPart; ++n) {
    part.records.push_back(
        ForwardedHostRecord{.record = MakeHostRecord(n), .age_ms = 5});
  }
  CHECK(EncodeNodeMessage(part).size() <= 1400);
}

TEST(NodeMessage, HeartbeatFitsItsSizeAndKeepsItsFields) {
  const HostHeartbeat sent{.incarnation = 1777777777777,
                           .revision = 300,
                           .load = {.running = 2, .flows = 40},
                           .roster_digest = 99,
                           .routes = {.version = 70000, .age_ms = 3'600'000}};
  const auto datagram = EncodeNodeMessage(sent);
  CHECK(datagram.size() + 28 <= kHeartbeatBytes);
  const auto message = DecodeNodeMessage(datagram);
  const auto& received = std::get<HostHeartbeat>(*message);
  CHECK(received.incarnation == sent.incarnation);
  LONGS_EQUAL(300, received.revision);
  LONGS_EQUAL(40, received.load.flows);
  LONGS_EQUAL(99, received.roster_digest);
  LONGS_EQUAL(70000, received.routes.version);
  LONGS_EQUAL(3'600'000, received.routes.age_ms);
}

TEST(NodeMessage, RosterComparisonFitsOneDatagram) {
  RosterComparison sent;
  sent.buckets.assign(kMaxRosterBuckets, 0xFFFFFFFF);
  sent.buckets[3] = 7;
  const auto datagram = EncodeNodeMessage(sent);
  CHECK(datagram.size() <= 1400);
  const auto message = DecodeNodeMessage(datagram);
  CHECK(std::get<RosterComparison>(*message).buckets == sent.buckets);
}

TEST(NodeMessage,
     RejectsHeartbeatsAndComparisonsThatAreCutOrHaveForgedLengths) {
  const auto check = [](const NodeMessage& message) {
    const auto whole = EncodeNodeMessage(message);
    for (std::size_t n = 0; n < whole.size(); ++n) {
      CHECK_FALSE(DecodeNodeMessage(ByteView(whole).first(n)).has_value());
    }
  };
  check(HostHeartbeat{.incarnation = 1777777777777, .revision = 3});
  RosterComparison comparison;
  comparison.buckets.assign(16, 5);
  check(comparison);
  check(RecordRequest{});
  // The length of the list follows the magic number, the archive's byte order
  // and the message's kind.
  auto forged = EncodeNodeMessage(comparison);
  const std::size_t length = forged.size() - 16 * sizeof(std::uint32_t) - 1;
  LONGS_EQUAL(16, forged[length]);
  forged[length] = 17;
  CHECK_FALSE(DecodeNodeMessage(forged).has_value());
}

TEST(NodeMessage, FlowReplyRoundTripKeepsFlowAndAgent) {
  const FlowReply sent{.flow = {.caller = {.address = 1, .port = 2},
                                .address = {.address = 3, .port = 4}},
                       .agent = {.address = 5, .port = 6}};
  const auto message = DecodeNodeMessage(EncodeNodeMessage(sent));
  const auto& received = std::get<FlowReply>(*message);
  CHECK(received.flow == sent.flow);
  CHECK(received.agent == sent.agent);
}

TEST(NodeMessage, FlowQueryFits61BytesAndKeepsItsFields) {
  const FlowQuery sent{.flow = {.caller = {.address = 1, .port = 2},
                                .address = {.address = 3, .port = 4}},
                       .origin = {.address = 5, .port = 6},
                       .acknowledgement = 7,
                       .has_acknowledgement = true};
  const auto datagram = EncodeNodeMessage(sent);
  // A query takes at most a twentieth of a full packet.
  CHECK(datagram.size() <= 61);
  const auto message = DecodeNodeMessage(datagram);
  const auto& received = std::get<FlowQuery>(*message);
  CHECK(received.flow == sent.flow);
  CHECK(received.origin == sent.origin);
  LONGS_EQUAL(7, received.acknowledgement);
  CHECK(received.has_acknowledgement);
}

TEST(NodeMessage, RejectsTruncatedDatagramsAndHandlesCorruptOnes) {
  Random random{5};
  const auto whole =
      EncodeNodeMessage(HostAnnouncement{.record = MakeHostRecord(1)});
  for (std::size_t n = 0; n < whole.size(); ++n) {
    CHECK_FALSE(DecodeNodeMessage(ByteView(whole).first(n)).has_value());
  }
  for (int n = 0; n < 20000; ++n) {
    Bytes bytes = whole;
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    (void)DecodeNodeMessage(bytes);  // Must not crash or allocate much memory.
  }
}

// Guards against a whole message that is lost because of one record.
TEST(NodeMessage, RecordThatCantBeUsedCostsOnlyItself) {
  RosterPart part;
  for (std::uint32_t n = 1; n <= 5; ++n) {
    part.records.push_back(ForwardedHostRecord{.record = MakeHostRecord(n)});
  }
  part.records[1].record.role = static_cast<HostRole>(7);
  part.records[2].record.target.state = static_cast<TargetState>(200);
  part.records[3].record.incarnation = UINT64_MAX;
  const auto message = DecodeNodeMessage(EncodeNodeMessage(part));
  CHECK(message.has_value());
  const auto& received = std::get<RosterPart>(*message).records;
  LONGS_EQUAL(5, received.size());
  for (std::size_t n = 0; n < received.size(); ++n) {
    const bool is_usable = n == 0 || n == 4;
    CHECK_EQUAL(is_usable, CheckRecord(received[n].record) == nullptr);
    CHECK(!is_usable || received[n].record == part.records[n].record);
  }
}

// Any byte of a roster may be wrong: what is decoded can be checked and merged.
TEST(NodeMessage, CorruptRostersAreDecodedAndCheckedWithoutAFault) {
  Random random{9};
  RosterPart part;
  for (std::uint32_t n = 1; n <= 5; ++n) {
    part.records.push_back(ForwardedHostRecord{.record = MakeHostRecord(n)});
  }
  const auto whole = EncodeNodeMessage(part);
  Fleet fleet{.self = MakeHostRecord(9)};
  const TimePoint now{std::chrono::seconds{1000}};
  for (int n = 0; n < 20000; ++n) {
    Bytes bytes = whole;
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    const auto message = DecodeNodeMessage(bytes);
    if (!message.has_value() || !std::holds_alternative<RosterPart>(*message)) {
      continue;
    }
    for (const auto& it : std::get<RosterPart>(*message).records) {
      if (CheckRecord(it.record) == nullptr) {
        MergeHostRecord(fleet, it.record, std::chrono::milliseconds{it.age_ms},
                        now);
      }
    }
  }
  CHECK(fleet.hosts.size() > 5);
  CHECK(fleet.self.incarnation <= kMaxIncarnation + 1);
}

TEST(NodeMessage, RelayHeaderRoundTripKeepsEveryField) {
  const RelayHeader sent{.origin = {.address = 0x0A000001, .port = 7000},
                         .service = 77,
                         .wants_flow_reply = true,
                         .is_returned = true,
                         .is_last_candidate = true,
                         .is_zone_out_of_service = true,
                         .is_at_warmup_limit = true,
                         .may_be_accepted = true,
                         .returned_by = {1, 2, 3},
                         .terms = FlowTerms{.priority = 2,
                                            .is_repeatable = true,
                                            .goal_ms = 300,
                                            .timeout_ms = 1200,
                                            .warmup_limit = 17}};
  Bytes bytes;
  AppendRelayHeader(sent, bytes);
  const std::size_t header_bytes = bytes.size();
  bytes.resize(header_bytes + 32);
  std::size_t size = 0;
  const auto received = DecodeRelayHeader(bytes, size);
  CHECK(received.has_value());
  CHECK(*received == sent);
  LONGS_EQUAL(header_bytes, size);
}

TEST(NodeMessage, RejectsTruncatedRelayHeaderAndTooManyReturns) {
  Bytes bytes;
  AppendRelayHeader(RelayHeader{.returned_by = {1, 2, 3}, .terms = FlowTerms{}},
                    bytes);
  std::size_t size = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeRelayHeader(ByteView(bytes).first(n), size).has_value());
  }
  bytes[2] = 255;
  CHECK_FALSE(DecodeRelayHeader(bytes, size).has_value());
}

TEST(NodeMessage, OpeningsLeftShareTheByteOfAFailingTarget) {
  const auto encode = [](bool failing, std::uint8_t openings_left) {
    return EncodeNodeMessage(FlowReply{
        .load = {.failing = failing, .openings_left = openings_left}});
  };
  const Bytes plain = encode(false, kUnlimitedOpenings);
  for (const bool failing : {false, true}) {
    for (unsigned left = 0; left <= kUnlimitedOpenings; ++left) {
      const Bytes bytes = encode(failing, static_cast<std::uint8_t>(left));
      LONGS_EQUAL(plain.size(), bytes.size());
      const auto message = DecodeNodeMessage(bytes);
      CHECK(message.has_value());
      const TargetLoad& load = std::get<FlowReply>(*message).load;
      CHECK(load.failing == failing);
      LONGS_EQUAL(left == kUnlimitedOpenings
                      ? left
                      : std::min<unsigned>(left, kMaxReportedOpenings),
                  load.openings_left);
    }
  }
  // Earlier builds read the byte as a flag.
  const Bytes failing = encode(true, kUnlimitedOpenings);
  int changed = 0;
  for (std::size_t n = 0; n < plain.size(); ++n) {
    if (plain[n] != failing[n]) {
      ++changed;
      LONGS_EQUAL(0, plain[n]);
      LONGS_EQUAL(1, failing[n]);
    }
  }
  LONGS_EQUAL(1, changed);
}
