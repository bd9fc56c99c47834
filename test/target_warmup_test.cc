#include <CppUTest/TestHarness.h>

#include "hawthornbank/target_flows.h"

/// @file
/// Openings and requests that an agent lets through to a cold target.

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = TargetAction::Kind;

constexpr std::uint32_t kService = 77;
constexpr std::uint16_t kLimit = 3;
const Endpoint kBalancer{.address = 0x0A000001, .port = 7000};
const Endpoint kAddress{.address = 0xC6120001, .port = 443};
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeCallerPacket(std::uint16_t port, bool opens, std::uint32_t sequence)
    -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .is_opening = opens,
                    .sequence = sequence,
                    .data_bytes = static_cast<std::uint16_t>(opens ? 0 : 100)};
}

}  // namespace

TEST_GROUP(TargetWarmup) {
  TargetFlows target{.options = {.service = kService,
                                 .self = {.address = 0x0A010001, .port = 7000},
                                 .max_running_per_slot = 100},
                     .status = {.state = TargetState::kReady,
                                .started_at_ms = 500,
                                .slots = 2},
                     .knows_all_flows = true,
                     .averaged_at = kNow};
  std::vector<TargetAction> out;
  RelayHeader header{.origin = kBalancer,
                     .service = kService,
                     .terms = FlowTerms{.warmup_limit = kLimit}};

  auto RelayOpening(std::uint16_t port, TimePoint now = kNow,
                    std::uint32_t sequence = 0)
      ->TargetReason {
    out.clear();
    OnRelayedPacket(target, header, MakeCallerPacket(port, true, sequence), {},
                    now, out);
    return out[0].reason;
  }

  auto SendRequest(std::uint16_t port, std::uint32_t sequence,
                   TimePoint now = kNow)
      ->void {
    out.clear();
    OnRelayedPacket(target, header, MakeCallerPacket(port, false, sequence), {},
                    now, out);
    CHECK(out[0].kind == Kind::kDeliver);
  }

  // Lets the target send a packet; one without data answers an opening.
  auto AnswerFlow(std::uint16_t port, std::uint32_t acknowledged,
                  TimePoint now = kNow)
      ->void {
    out.clear();
    OnTargetPacket(
        target,
        FlowPacket{.source = kAddress,
                   .destination = {.address = 0x64400007, .port = port},
                   .has_acknowledgement = true,
                   .acknowledgement = acknowledged,
                   .data_bytes =
                       static_cast<std::uint16_t>(acknowledged > 1 ? 10 : 0)},
        now, out);
  }

  auto FillLimit()->void {
    for (std::uint16_t port = 1; port <= kLimit; ++port) {
      CHECK(RelayOpening(port) == TargetReason::kOpened);
      AnswerFlow(port, 1);
    }
  }
};

TEST(TargetWarmup, OpeningBeyondTheLimitIsReturned) {
  FillLimit();
  CHECK(RelayOpening(9) == TargetReason::kWarmup);
  CHECK(out[0].kind == Kind::kReturnToBalancer);
  CHECK(out[0].to == kBalancer);
  CHECK(out[0].header.is_at_warmup_limit);
  LONGS_EQUAL(1,
              target.counts[static_cast<std::size_t>(TargetReason::kWarmup)]);
  LONGS_EQUAL(0, ComputeTargetLoad(target, kNow).openings_left);
  CHECK(RelayOpening(9, kNow + 1021ms) == TargetReason::kOpened);
}

TEST(TargetWarmup, LastCandidateAndEarlierRefusalsDontOverrideTheLimit) {
  FillLimit();
  header.is_last_candidate = true;
  CHECK(RelayOpening(9) == TargetReason::kWarmup);
  header.returned_by = {1, 2, 3, 4};
  CHECK(RelayOpening(9) == TargetReason::kWarmup);
}

TEST(TargetWarmup, LimitStaysInUseForOpeningsWithoutTerms) {
  FillLimit();
  header.terms.reset();
  CHECK(RelayOpening(9) == TargetReason::kWarmup);
}

TEST(TargetWarmup, ServiceWithoutRateIsServedAsBefore) {
  header.terms = FlowTerms{};
  for (std::uint16_t port = 1; port <= 50; ++port) {
    CHECK(RelayOpening(port) == TargetReason::kOpened);
  }
  LONGS_EQUAL(kUnlimitedOpenings,
              ComputeTargetLoad(target, kNow).openings_left);
  CHECK(target.warmup.requests.empty());
}

TEST(TargetWarmup, WarmTargetHasNoLimit) {
  SetWarmupEnd(target.warmup, TimePoint{}, kNow);
  for (std::uint16_t port = 1; port <= 50; ++port) {
    CHECK(RelayOpening(port) == TargetReason::kOpened);
  }
}

TEST(TargetWarmup, RequestsOnOpenFlowsPassAndUseUpTheSecond) {
  CHECK(RelayOpening(1) == TargetReason::kOpened);
  AnswerFlow(1, 1);
  // The opening stands for the first request.
  SendRequest(1, 1);
  LONGS_EQUAL(kLimit - 1, ComputeTargetLoad(target, kNow).openings_left);
  // Further packets of a request aren't requests.
  SendRequest(1, 101);
  LONGS_EQUAL(kLimit - 1, ComputeTargetLoad(target, kNow).openings_left);
  AnswerFlow(1, 201);
  for (std::uint32_t n = 2; n < 9; ++n) {
    SendRequest(1, n * 100 + 1);
    AnswerFlow(1, n * 100 + 101);
  }
  CHECK(RelayOpening(2) == TargetReason::kWarmup);
}

TEST(TargetWarmup, CopyOfAnOpeningIsCountedOnce) {
  for (int n = 0; n < 5; ++n) {
    CHECK(RelayOpening(1) == TargetReason::kOpened);
  }
  AnswerFlow(1, 1);
  for (int n = 0; n < 5; ++n) {
    CHECK(RelayOpening(1) == TargetReason::kDelivered);
  }
  LONGS_EQUAL(kLimit - 1, ComputeTargetLoad(target, kNow).openings_left);
}

TEST(TargetWarmup, CopyOfAnOpeningThatIsHeldPassesAtTheLimit) {
  FillLimit();
  CHECK(RelayOpening(1) == TargetReason::kDelivered);
}

TEST(TargetWarmup, OpeningThatTheTargetDidntAnswerStaysCounted) {
  // The target may still read the packet.
  FillLimit();
  CHECK(RelayOpening(9, kNow + 1021ms) == TargetReason::kOpened);
  out.clear();
  OnTargetTick(target, kNow + 1060ms, out);
  CHECK(out[0].reason == TargetReason::kSilent);
  LONGS_EQUAL(kLimit - 1,
              ComputeTargetLoad(target, kNow + 1060ms).openings_left);
}

TEST(TargetWarmup, SilentTargetCountsAsColdUntilItsNextHeartbeat) {
  SetWarmupEnd(target.warmup, TimePoint{}, kNow);
  FillLimit();
  CHECK(RelayOpening(8) == TargetReason::kOpened);
  OnTargetTick(target, kNow + 30ms, out);
  CHECK(RelayOpening(9, kNow + 500ms) == TargetReason::kWarmup);
  SetWarmupEnd(target.warmup, TimePoint{}, kNow + 600ms);
  CHECK(RelayOpening(9, kNow + 600ms) == TargetReason::kOpened);
}

TEST(TargetWarmup, TargetThatReturnsAPacketOfItsFlowCountsAsCold) {
  SetWarmupEnd(target.warmup, TimePoint{}, kNow);
  FillLimit();
  SendRequest(1, 1);
  FlowPacket returned = MakeCallerPacket(1, false, 1);
  returned.is_returned = true;
  returned.return_id = out[0].return_id;
  out.clear();
  OnTargetPacket(target, returned, kNow + 1ms, out);
  CHECK(out[0].reason == TargetReason::kReturned);
  CHECK(RelayOpening(9, kNow + 2ms) == TargetReason::kWarmup);
}

// Guards against an opening of a used port that counted as a copy.
TEST(TargetWarmup, OpeningOfAUsedPortCountsAndACopyDoesNot) {
  for (std::uint32_t sequence = 0; sequence < kLimit; ++sequence) {
    CHECK(RelayOpening(1, kNow, sequence) == TargetReason::kOpened);
    CHECK(RelayOpening(1, kNow, sequence) == TargetReason::kOpened);
  }
  CHECK(RelayOpening(1, kNow, kLimit) == TargetReason::kWarmup);
}
