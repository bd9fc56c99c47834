#include "hawthornbank/pending_calls.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(PendingCalls) {
  PendingCalls calls;
};

TEST(PendingCalls, SilentCallIsLateOnceAndMakesRoomForAnother) {
  const CallId id = StartPendingCall(calls, kNow);
  CHECK(HasCallInTime(calls));
  LONGS_EQUAL(0, MarkLateCalls(calls, kNow + 699ms).late.size());
  const LateCalls changes = MarkLateCalls(calls, kNow + 700ms);
  LONGS_EQUAL(1, changes.late.size());
  LONGS_EQUAL(id, changes.late.front().id);
  LONGS_EQUAL(0, changes.cancelled.size());
  CHECK_FALSE(HasCallInTime(calls));
  LONGS_EQUAL(0, MarkLateCalls(calls, kNow + 800ms).late.size());
  CHECK(EndPendingCall(calls, id)->is_late);
  CHECK_FALSE(EndPendingCall(calls, id).has_value());
}

TEST(PendingCalls, CallIsInTimeWhileBytesArrive) {
  const CallId id = StartPendingCall(calls, kNow);
  for (std::size_t n = 1; n < 4; ++n) {
    const TimePoint now = kNow + n * 600ms;
    RecordReceivedBytes(calls, id, n * 1000, now);
    LONGS_EQUAL(0, MarkLateCalls(calls, now).late.size());
    CHECK(IsResponseArriving(calls));
  }
  // The same number of bytes as before is no progress.
  RecordReceivedBytes(calls, id, 3000, kNow + 1900ms);
  LONGS_EQUAL(1, MarkLateCalls(calls, kNow + 2s).late.size());
  CHECK_FALSE(IsResponseArriving(calls));
}

// Load pattern: a response that always makes progress but never ends.
// A list is read in several responses, each counted from its first byte.
TEST(PendingCalls, CallIsInTimeWhileFurtherResponsesArrive) {
  const CallId id = StartPendingCall(calls, kNow);
  RecordReceivedBytes(calls, id, 9000, kNow + 600ms);
  BeginNextResponse(calls, id, kNow + 600ms);
  CHECK_FALSE(IsResponseArriving(calls));
  RecordReceivedBytes(calls, id, 1000, kNow + 1200ms);
  CHECK(IsResponseArriving(calls));
  LONGS_EQUAL(0, MarkLateCalls(calls, kNow + 1800ms).late.size());
  LONGS_EQUAL(1, MarkLateCalls(calls, kNow + 1900ms).late.size());
}

TEST(PendingCalls, ResponseThatTricklesDoesNotPreventAnotherCall) {
  const CallId id = StartPendingCall(calls, kNow);
  for (std::size_t n = 1; n <= 20; ++n) {
    RecordReceivedBytes(calls, id, n, kNow + n * 100ms);
    MarkLateCalls(calls, kNow + n * 100ms);
  }
  CHECK_FALSE(HasCallInTime(calls));
  LONGS_EQUAL(1, calls.calls.size());
}

// Load pattern: a service whose responses take longer than any number of
// retries; cancelling the oldest call each time would lose every response.
TEST(PendingCalls, OldestLateCallsAreKept) {
  const CallId first = StartPendingCall(calls, kNow);
  CallId last = first;
  for (auto at = 700ms; at <= 9100ms; at += 700ms) {
    MarkLateCalls(calls, kNow + at);
    last = StartPendingCall(calls, kNow + at);
    CHECK(calls.calls.size() <= calls.options.max_late_calls + 1);
  }
  LONGS_EQUAL(first, calls.calls.front().id);
  LONGS_EQUAL(last, calls.calls.back().id);
  const LateCalls changes = MarkLateCalls(calls, kNow + 10s);
  CHECK(!changes.cancelled.empty());
  LONGS_EQUAL(first, changes.cancelled.front());
}

TEST(PendingCalls, CancelledCallsAreNoLongerPending) {
  const CallId id = StartPendingCall(calls, kNow);
  const LateCalls changes = CancelPendingCalls(calls);
  LONGS_EQUAL(1, changes.cancelled.size());
  LONGS_EQUAL(id, changes.cancelled.front());
  CHECK(calls.calls.empty());
  CHECK(StartPendingCall(calls, kNow) != id);
}
