#include "soak/judge.h"

#include <CppUTest/TestHarness.h>

#include <array>

#include "soak/caller_ports.h"
#include "soak/faults.h"
#include "soak/reuse.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
const Endpoint kRouteA{.address = 0xC6120001, .port = 443};
const Endpoint kRouteB{.address = 0xC6120002, .port = 443};
const Endpoint kCaller{.address = 0x7F0007FA, .port = 1025};

auto MakeFlow(Endpoint route, std::uint32_t opening_sequence = 77) -> FlowId {
  return FlowId{.key = {.caller = kCaller, .address = route},
                .opening_sequence = opening_sequence};
}

const FlowId kFlowA = MakeFlow(kRouteA);

}  // namespace

TEST_GROUP(InvariantChecker) {
  InvariantChecker checker;

  auto GetFirstViolatedInvariant()->const char* {
    return checker.violations.empty() ? ""
                                      : checker.violations[0].invariant.c_str();
  }
};

TEST(InvariantChecker, RequestExecutedTwiceIsReported) {
  OnRouteStored(checker, kRouteA, "a");
  OnRequestSent(checker, 1, RequestRecord{.flow = kFlowA});
  OnRequestExecuted(checker, kFlowA, 1, "a", "a-1", kNow);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
  OnRequestExecuted(checker, kFlowA, 1, "a", "a-1", kNow);
  STRCMP_EQUAL("at most once", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, RequestExecutedByAServiceWithoutItsRouteIsReported) {
  OnRouteStored(checker, kRouteA, "a");
  OnRouteStored(checker, kRouteB, "b");
  OnRequestSent(checker, 1, RequestRecord{.flow = kFlowA});
  OnRequestSent(checker, 2, RequestRecord{.flow = MakeFlow(kRouteB)});
  OnRequestSent(checker, 3,
                RequestRecord{.flow = kFlowA, .is_port_reused = true});
  OnRequestExecuted(checker, kFlowA, 1, "a", "a-1", kNow);
  OnRequestExecuted(checker, kFlowA, 2, "b", "b-1", kNow);
  LONGS_EQUAL(0, CountViolations(checker, kRouteRule));
  OnRequestExecuted(checker, kFlowA, 3, "b", "b-2", kNow);
  LONGS_EQUAL(1, CountViolations(checker, "ROUTE"));
  STRCMP_EQUAL(
      "request 3 from port 1025 (used before) to 198.18.0.1:443, opening seq "
      "77, executed by service b at b-2",
      checker.violations[0].detail.c_str());
  CHECK(checker.violations[0].at == kNow);
}

TEST(InvariantChecker, RequestAtAServiceOfAnEarlierConfigurationIsAllowed) {
  OnRouteStored(checker, kRouteA, "a");
  OnRouteStored(checker, kRouteA, "b");
  OnRequestSent(checker, 1, RequestRecord{.flow = kFlowA});
  OnRequestExecuted(checker, kFlowA, 1, "a", "a-1", kNow);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, RequestThatNoCallerSentIsReported) {
  OnRequestExecuted(checker, kFlowA, 9, "a", "a-1", kNow);
  STRCMP_EQUAL("UNASKED", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, VersionDecreaseIsReportedWithinOneStartOfAProcess) {
  OnRoutesVersionReported(checker, "b#1", "b", 5, kNow);
  OnRoutesVersionReported(checker, "b#2", "b", 3, kNow);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
  OnRoutesVersionReported(checker, "b#1", "b", 4, kNow);
  STRCMP_EQUAL("version decreased", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, VersionNotInForceIsReportedLaterAfterAStoreDisturbance) {
  checker.accepted_at[7] = kNow;
  OnRoutesVersionReported(checker, "b#1", "b", 5, kNow + 3s);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
  RecordDisturbance(checker, "store", false, kNow + 1s);
  OnRoutesVersionReported(checker, "b#1", "b", 5, kNow + 4s);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
  OnRoutesVersionReported(checker, "b#1", "b", 5, kNow + 5s);
  STRCMP_EQUAL("not in force", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, ServedShareBelowNinetyNinePercentIsReported) {
  for (int n = 0; n < 99; ++n) {
    OnRequestFinished(checker, true, true);
  }
  OnRequestFinished(checker, false, true);
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("", GetFirstViolatedInvariant());
  OnRequestFinished(checker, false, true);
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("served share", GetFirstViolatedInvariant());
}

TEST(InvariantChecker, FinalPhaseWithoutRequestsIsReported) {
  OnRequestFinished(checker, true, false);
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("served share", GetFirstViolatedInvariant());
}

TEST_GROUP(FaultSeries){};

TEST(FaultSeries, SameSeedGivesTheSameSeriesWithAllFaultKinds) {
  const auto faults = GenerateFaultSeries(5, 300s);
  const auto repeated = GenerateFaultSeries(5, 300s);
  LONGS_EQUAL(faults.size(), repeated.size());
  std::array<int, kFaultKindCount> kind_counts{};
  for (std::size_t n = 0; n < faults.size(); ++n) {
    CHECK(faults[n].kind == repeated[n].kind &&
          faults[n].start_offset == repeated[n].start_offset);
    ++kind_counts.at(static_cast<std::size_t>(faults[n].kind));
  }
  for (const auto it : kind_counts) {
    CHECK(it > 0);
  }
}

TEST_GROUP(Reuse){};

TEST(Reuse, SeriesIsEmptyUnlessAnOptionNamesKinds) {
  CHECK(GenerateReuseSeries(5, 60s, {}).empty());
  CHECK(GenerateReuseSeries(5, 60s, {.kinds = {ReuseKind::kPorts}}).empty());
}

TEST(Reuse, SeriesHasTheNamedKindsAndTheirTimes) {
  const ReuseOptions late{.kinds = {ReuseKind::kLateAgent},
                          .agent_delay = 300ms};
  for (const auto& it : GenerateReuseSeries(5, 60s, late)) {
    CHECK(it.kind == ReuseKind::kLateAgent && it.agent_end == 300ms);
  }
  std::set<ReuseKind> drawn{ReuseKind::kPorts, ReuseKind::kLateCopies,
                            ReuseKind::kLatePackets};
  for (const auto& it :
       GenerateReuseSeries(5, 300s, {.kinds = GetAllReuseKinds()})) {
    drawn.insert(it.kind);
    CHECK(it.late_heartbeat.has_value() ==
          (it.kind == ReuseKind::kLateHeartbeat));
    CHECK(it.kind != ReuseKind::kEarlyAgent || *it.agent_end < 0ms);
  }
  CHECK(drawn == GetAllReuseKinds());
}

TEST(Reuse, EachKindIsFoundByItsName) {
  for (const auto it : GetAllReuseKinds()) {
    CHECK(ParseReuseKind(ToString(it)) == it);
  }
  CHECK(!ParseReuseKind("none").has_value());
}

TEST(Reuse, PortsComeBackOnlyWhenChosenAndOnlyOnceEach) {
  CallerPorts growing(false, false, 1);
  CallerPorts reused(true, true, 1);
  std::set<std::uint16_t> ports;
  int at_once = 0;
  for (int n = 0; n < 100; ++n) {
    const auto it = growing.TakePort(kNow);
    CHECK(!growing.ReleasePort(it, kNow) && ports.insert(it).second);
  }
  ports.clear();
  for (int n = 0; n < 100; ++n) {
    ports.insert(reused.TakePort(kNow));
  }
  for (const auto it : ports) {
    at_once += reused.ReleasePort(it, kNow) ? 1 : 0;
  }
  CHECK(at_once > 0 && at_once < 100);
  for (int n = 0; n < at_once; ++n) {
    CHECK(ports.erase(reused.TakePort(kNow)) == 1);
  }
  CHECK(!ports.contains(reused.TakePort(kNow)));
  CHECK(ports.erase(reused.TakePort(kNow + 20s)) == 1);
}
