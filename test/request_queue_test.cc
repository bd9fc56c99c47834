#include "coordination/request_queue.h"

#include "hawthornbank/random.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(RequestQueue) {
  RequestQueue queue;
  std::uint64_t next_request = 1;

  auto AddRequest(std::uint64_t caller, bool has_double_weight = false)
      ->QueueItem {
    const QueueItem item{.request = RequestHandle{next_request++},
                         .caller = caller,
                         .has_double_weight = has_double_weight};
    PushRequest(queue, item);
    return item;
  }
};

TEST(RequestQueue, CallersAreServedRoundRobin) {
  AddRequest(1);
  AddRequest(1);
  AddRequest(1);
  AddRequest(2);
  LONGS_EQUAL(1, PopNextRequest(queue)->caller);
  LONGS_EQUAL(2, PopNextRequest(queue)->caller);
  LONGS_EQUAL(1, PopNextRequest(queue)->caller);
  LONGS_EQUAL(1, PopNextRequest(queue)->caller);
  CHECK_FALSE(PopNextRequest(queue).has_value());
}

TEST(RequestQueue, ServesTwoDoubleWeightRequestsPerOrdinaryOne) {
  for (int n = 0; n < 4; ++n) {
    AddRequest(1, true);
    AddRequest(2);
  }
  const std::uint64_t expected[] = {1, 1, 2, 1, 1, 2, 2, 2};
  for (const auto caller : expected) {
    LONGS_EQUAL(caller, PopNextRequest(queue)->caller);
  }
}

TEST(RequestQueue, CountsOnlyRequestsServedBeforeTheNewRequest) {
  for (int n = 0; n < 10; ++n) {
    AddRequest(1);
  }
  AddRequest(2);
  LONGS_EQUAL(2, ComputeMaxRequestsAhead(queue, {.caller = 3}));
  LONGS_EQUAL(3, ComputeMaxRequestsAhead(queue, {.caller = 2}));
  LONGS_EQUAL(21, ComputeMaxRequestsAhead(queue, {.caller = 1}));
  LONGS_EQUAL(1, ComputeMaxRequestsAhead(
                     queue, {.caller = 3, .has_double_weight = true}));
}

TEST(RequestQueue, LaterRequestsDoNotDelayTheFirstRequestOfACaller) {
  Random random{7};
  for (int round = 0; round < 200; ++round) {
    queue = {};
    AddRequest(100, true);
    for (int n = 0; n < 30; ++n) {
      AddRequest(random(20), random(2) == 0);
    }
    const QueueItem own{.request = RequestHandle{next_request++},
                        .caller = 50,
                        .has_double_weight = random(2) == 0};
    const auto max_ahead = ComputeMaxRequestsAhead(queue, own);
    PushRequest(queue, own);
    std::size_t before = 0;
    while (PopNextRequest(queue)->request != own.request) {
      ++before;
      AddRequest(random(20), random(3) != 0);
      AddRequest(random(20), random(3) != 0);
    }
    // Up to two requests of the double class may be served first.
    CHECK(before <= max_ahead + 2);
  }
}

TEST(RequestQueue, NewestRequestOfAGreedyCallerIsEvicted) {
  for (int n = 0; n < 4; ++n) {
    AddRequest(1);
  }
  AddRequest(2);
  CHECK_FALSE(ChooseRequestToEvict(queue, {.caller = 3}).has_value());
  const auto newest = AddRequest(1);
  CHECK(ChooseRequestToEvict(queue, {.caller = 3})->request == newest.request);
  CHECK_FALSE(ChooseRequestToEvict(queue, {.caller = 1}).has_value());
  AddRequest(2);
  CHECK_FALSE(ChooseRequestToEvict(queue, {.caller = 2}).has_value());
}

TEST(RequestQueue, RemovingTheOnlyRequestLeavesNoEmptyCallerQueue) {
  const auto item = AddRequest(1);
  CHECK(RemoveRequest(queue, item));
  CHECK_FALSE(RemoveRequest(queue, item));
  LONGS_EQUAL(0, CountQueuedRequests(queue));
  CHECK_FALSE(PopNextRequest(queue).has_value());
}

TEST(RequestQueue, RecentlyUsedClassIsExpectedToBeUsedAgain) {
  AddRequest(1, true);
  AddRequest(2);
  PopNextRequest(queue);
  // One ordinary request is ahead, and two double-class requests may be served
  // before each of the two ordinary requests.
  LONGS_EQUAL(5, ComputeMaxRequestsAhead(queue, {.caller = 3}));
  for (int n = 0; n < 40; ++n) {
    AddRequest(2);
    PopNextRequest(queue);
  }
  LONGS_EQUAL(1, ComputeMaxRequestsAhead(queue, {.caller = 3}));
}
