#include "hawthornbank/work_order.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kSlots = 2;
const TimePoint kNow{std::chrono::seconds{1000}};
const FlowTerms kUrgent{.priority = 1, .goal_ms = 300, .timeout_ms = 1500};
const FlowTerms kOrdinary{.priority = 2, .goal_ms = 300, .timeout_ms = 1200};
const FlowTerms kLeastUrgent{.priority = 3, .goal_ms = 300};

auto MakePacket(std::uint32_t sequence, std::size_t bytes = 100)
    -> WaitingPacket {
  return WaitingPacket{.bytes = std::vector<std::uint8_t>(bytes, 7),
                       .sequence = sequence,
                       .data_bytes = static_cast<std::uint16_t>(bytes)};
}

}  // namespace

TEST_GROUP(WorkOrder) {
  WorkOrder order;

  auto Begin(const std::optional<FlowTerms>& terms, TimePoint now = kNow)
      ->RequestId {
    const auto id = BeginRequest(order, kSlots, FlowKey{}, terms, 100, now);
    AppendToWaitingRequest(order, id, MakePacket(1));
    return id;
  }

  auto FillTarget()->std::vector<RequestId> {
    order.seen_priorities.set(kUrgent.priority);
    order.seen_priorities.set(kLeastUrgent.priority);
    std::vector<RequestId> ids;
    for (std::size_t n = 0; n < kSlots + order.options.assumed_queue_places;
         ++n) {
      ids.push_back(Begin(kOrdinary));
      CHECK_FALSE(IsWaiting(order, ids.back()));
    }
    return ids;
  }

  auto Answer(RequestId id, TimePoint now)->void {
    RecordRequestAnswered(order, kSlots, id, now);
  }

  auto Take(TimePoint now)->std::vector<HandedOverRequest> {
    return TakeRequestsToHandOver(order, kSlots, now);
  }

  auto CountHandedOver(HandOverReason reason)->std::uint64_t {
    return order.handed_over.at(static_cast<std::size_t>(reason));
  }
};

TEST(WorkOrder, FreedPlaceGoesToTheMostUrgentRequest) {
  const auto pending = FillTarget();
  const auto ordinary = Begin(kOrdinary);
  const auto urgent = Begin(kUrgent);
  CHECK(IsWaiting(order, ordinary));
  CHECK(IsWaiting(order, urgent));
  CHECK(Take(kNow).empty());
  Answer(pending[0], kNow + 30ms);
  const auto taken = Take(kNow + 30ms);
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(urgent, taken[0].request.id);
  CHECK(taken[0].reason == HandOverReason::kPlaceFreed);
  LONGS_EQUAL(1, order.waits.at(2));
}

TEST(WorkOrder, RequestsOfOnePriorityAreOrderedByTheEndOfTheirGoal) {
  const auto pending = FillTarget();
  FlowTerms patient = kOrdinary;
  patient.goal_ms = 800;
  Begin(patient);
  const auto next = Begin(kOrdinary, kNow + 10ms);
  Answer(pending[0], kNow + 30ms);
  LONGS_EQUAL(next, Take(kNow + 30ms).at(0).request.id);
}

TEST(WorkOrder, WaitEndsAfterAFifthOfTheGoal) {
  FillTarget();
  const auto id = Begin(kOrdinary);
  CHECK(Take(kNow + 59ms).empty());
  const auto taken = Take(kNow + 60ms);
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(id, taken[0].request.id);
  CHECK(taken[0].reason == HandOverReason::kWaitEnded);
}

TEST(WorkOrder, LeastUrgentPriorityWaitsForATwentiethOfTheGoal) {
  FillTarget();
  Begin(kLeastUrgent);
  CHECK(Take(kNow + 14ms).empty());
  CHECK(Take(kNow + 15ms).at(0).reason == HandOverReason::kWaitEnded);
}

TEST(WorkOrder, WaitEndsBeforeCallersRetransmit) {
  FillTarget();
  FlowTerms patient = kOrdinary;
  patient.goal_ms = 5000;
  Begin(patient);
  LONGS_EQUAL(1, Take(kNow + 120ms).size());
}

TEST(WorkOrder, RequestsOfOnePriorityNeverWait) {
  for (int n = 0; n < 100; ++n) {
    CHECK_FALSE(IsWaiting(order, Begin(kOrdinary)));
  }
  LONGS_EQUAL(100, CountHandedOver(HandOverReason::kUnordered));
}

TEST(WorkOrder, RequestWithUnknownTermsNeverWaits) {
  FillTarget();
  CHECK_FALSE(IsWaiting(order, Begin(std::nullopt)));
  CHECK_FALSE(IsWaiting(order, Begin(FlowTerms{.priority = 1})));
}

TEST(WorkOrder, RequestThatCannotGetAPlaceInTimeIsHandedOverAtOnce) {
  const auto pending = FillTarget();
  Answer(pending[0], kNow + 100ms);
  Answer(pending[1], kNow + 150ms);
  for (int n = 0; n < 2; ++n) {
    CHECK_FALSE(IsWaiting(order, Begin(kOrdinary, kNow + 150ms)));
  }
  // A place becomes free every 50 ms and a request may wait for 60 ms.
  CHECK(IsWaiting(order, Begin(kOrdinary, kNow + 150ms)));
  CHECK_FALSE(IsWaiting(order, Begin(kOrdinary, kNow + 150ms)));
  CHECK(IsWaiting(order, Begin(kUrgent, kNow + 150ms)));
  LONGS_EQUAL(1, CountHandedOver(HandOverReason::kNotServable));
}

TEST(WorkOrder, RefusalShowsHowManyRequestsTheTargetTakes) {
  FillTarget();
  Begin(kOrdinary);
  const auto probe = Take(kNow + 60ms).at(0).request.id;
  Answer(probe, kNow + 61ms);
  LONGS_EQUAL(1, order.refused);
  LONGS_EQUAL(kSlots + order.options.assumed_queue_places, order.capacity);
}

TEST(WorkOrder, RefusedRequestsDoNotCountAsTaken) {
  auto pending = FillTarget();
  const std::size_t taken = pending.size();
  order.capacity = taken + 1;
  for (int n = 0; n < 3; ++n) {
    pending.push_back(Begin(std::nullopt));
  }
  for (std::size_t n = taken; n < pending.size(); ++n) {
    Answer(pending[n], kNow + 1ms);
    LONGS_EQUAL(taken, order.capacity);
  }
  LONGS_EQUAL(3, order.refused);
}

TEST(WorkOrder, CapacityGrowsWhenTheTargetTakesMore) {
  auto pending = FillTarget();
  const auto more = order.options.signs_before_growth;
  for (std::size_t n = 0; n < more; ++n) {
    Begin(kOrdinary);
  }
  for (const auto& taken : Take(kNow + 60ms)) {
    pending.push_back(taken.request.id);
  }
  for (std::size_t n = 0; n < pending.size(); ++n) {
    Answer(pending[n], kNow + 60ms + (n + 1) * 15ms);
  }
  LONGS_EQUAL(0, order.refused);
  LONGS_EQUAL(kSlots + order.options.assumed_queue_places + 1, order.capacity);
  ForgetTargetCapacity(order);
  LONGS_EQUAL(0, order.capacity);
}

TEST(WorkOrder, CapacityShrinksByOneForEachRefusal) {
  const auto pending = FillTarget();
  Answer(pending[4], kNow + 1ms);
  LONGS_EQUAL(kSlots + order.options.assumed_queue_places - 1, order.capacity);
}

TEST(WorkOrder, CapacityIsNeverLessThanTheSlots) {
  const auto pending = FillTarget();
  for (std::size_t n = pending.size() - 1; n >= kSlots; --n) {
    Answer(pending[n], kNow + 1ms);
    LONGS_EQUAL(n, order.capacity);
  }
}

TEST(WorkOrder, OpeningsOfTheLeastUrgentPriorityAreRejectedByAFullTarget) {
  const auto pending = FillTarget();
  CHECK(MustRejectOpening(order, kSlots, kLeastUrgent, 0));
  CHECK_FALSE(MustRejectOpening(order, kSlots, kUrgent, 50));
  CHECK_FALSE(MustRejectOpening(order, kSlots, std::nullopt, 0));
  EndRequest(order, pending[0]);
  CHECK_FALSE(MustRejectOpening(order, kSlots, kLeastUrgent, 0));
  CHECK(MustRejectOpening(order, kSlots, kLeastUrgent, 1));
}

TEST(WorkOrder, UrgentOpeningsAreRejectedBeforeTheTargetResetsThem) {
  auto pending = FillTarget();
  for (int n = 0; n < 20; ++n) {
    pending.push_back(Begin(std::nullopt));
  }
  RecordRequestReset(order, kSlots, pending.back());
  LONGS_EQUAL(30, order.reset_limit);
  for (std::size_t n = 20; n < pending.size(); ++n) {
    EndRequest(order, pending[n]);
  }
  CHECK(MustRejectOpening(order, kSlots, kUrgent, 0));
  EndRequest(order, pending[0]);
  CHECK_FALSE(MustRejectOpening(order, kSlots, kUrgent, 0));
}

TEST(WorkOrder, CapacityBeyondTheLimitOfResetsStillRejectsUrgentOpenings) {
  FillTarget();
  order.reset_limit = order.pending.size() - 2;
  CHECK(MustRejectOpening(order, kSlots, kUrgent, 0));
}

TEST(WorkOrder, OpeningsWhoseRequestsWouldBeLateAreRejected) {
  for (std::size_t n = 0; n < kSlots; ++n) {
    Begin(kUrgent);
  }
  order.seen_priorities.set(kLeastUrgent.priority);
  order.place_interval = 38ms;
  CHECK_FALSE(MustRejectOpening(order, kSlots, kLeastUrgent, 0));
  CHECK(MustRejectOpening(order, kSlots, kLeastUrgent, 1));
  CHECK_FALSE(MustRejectOpening(order, kSlots, kUrgent, 6));
  CHECK(MustRejectOpening(order, kSlots, kUrgent, 7));
  order.place_interval = 10s;
  EndRequest(order, 1);
  CHECK_FALSE(MustRejectOpening(order, kSlots, kLeastUrgent, 0));
}

TEST(WorkOrder, ResetsByATargetWithRoomAreNotTakenForALimit) {
  const auto pending = FillTarget();
  RecordRequestReset(order, kSlots, pending[0]);
  LONGS_EQUAL(0, order.reset_limit);
}

TEST(WorkOrder, LeastUrgentPriorityGetsATenthOfThePlaces) {
  const auto pending = FillTarget();
  const auto ordinary = Begin(kOrdinary);
  for (std::size_t n = 0; n < pending.size(); ++n) {
    Begin(kUrgent);
  }
  for (std::size_t n = 0; n < pending.size(); ++n) {
    Answer(pending[n], kNow + 30ms);
    const auto id = Take(kNow + 30ms).at(0).request.id;
    LONGS_EQUAL(n == order.options.max_places_without, id == ordinary);
  }
}

TEST(WorkOrder, RetransmissionReplacesTheWaitingPacket) {
  FillTarget();
  const auto id = Begin(kOrdinary);
  AppendToWaitingRequest(order, id, MakePacket(101));
  WaitingPacket repeated = MakePacket(1);
  repeated.header.service = 5;
  AppendToWaitingRequest(order, id, std::move(repeated));
  LONGS_EQUAL(200, order.waiting_bytes);
  const auto packets = Take(kNow + 60ms).at(0).request.packets;
  LONGS_EQUAL(2, packets.size());
  LONGS_EQUAL(1, packets[0].sequence);
  LONGS_EQUAL(5, packets[0].header.service);
  LONGS_EQUAL(101, packets[1].sequence);
  LONGS_EQUAL(0, order.waiting_bytes);
}

TEST(WorkOrder, RequestWithTooManyPacketsIsHandedOver) {
  FillTarget();
  const auto id = Begin(kOrdinary);
  for (std::uint32_t n = 1; n <= order.options.max_packets_per_request; ++n) {
    AppendToWaitingRequest(order, id, MakePacket(1 + n * 100));
  }
  CHECK(Take(kNow).at(0).reason == HandOverReason::kDisplaced);
}

TEST(WorkOrder, LeastUrgentRequestsMakeRoomWhenTooManyBytesWait) {
  order.options.max_waiting_bytes = 200;
  FillTarget();
  const auto first = Begin(kOrdinary);
  const auto second = Begin(kOrdinary, kNow + 1ms);
  CHECK_FALSE(IsWaiting(order, Begin(kOrdinary, kNow + 2ms)));
  const auto urgent = Begin(kUrgent, kNow + 3ms);
  const auto taken = Take(kNow + 3ms);
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(second, taken[0].request.id);
  CHECK(taken[0].reason == HandOverReason::kDisplaced);
  CHECK(IsWaiting(order, first));
  CHECK(IsWaiting(order, urgent));
  LONGS_EQUAL(200, order.waiting_bytes);
}

TEST(WorkOrder, RequestOfACallerThatGaveUpIsNotHandedOver) {
  FillTarget();
  EndRequest(order, Begin(kOrdinary));
  LONGS_EQUAL(1, order.dropped);
  LONGS_EQUAL(0, order.waiting_bytes);
  CHECK(Take(kNow + 60ms).empty());
}
