#include "coordination/request_queue.h"

#include "hawthornbank/random.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(RequestQueue) {
  RequestQueue queue;
  std::uint64_t next_request = 1;

  auto Add(std::uint64_t caller, bool counts_double = false)->QueueItem {
    const QueueItem item{.request = RequestHandle{next_request++},
                         .caller = caller,
                         .counts_double = counts_double};
    Push(queue, item);
    return item;
  }
};

TEST(RequestQueue, CallersTakeTurns) {
  Add(1);
  Add(1);
  Add(1);
  Add(2);
  LONGS_EQUAL(1, Pop(queue)->caller);
  LONGS_EQUAL(2, Pop(queue)->caller);
  LONGS_EQUAL(1, Pop(queue)->caller);
  LONGS_EQUAL(1, Pop(queue)->caller);
  CHECK_FALSE(Pop(queue).has_value());
}

TEST(RequestQueue, TwoDoubleOnesForEachOrdinaryOne) {
  for (int n = 0; n < 4; ++n) {
    Add(1, true);
    Add(2);
  }
  const std::uint64_t expected[] = {1, 1, 2, 1, 1, 2, 2, 2};
  for (const auto caller : expected) {
    LONGS_EQUAL(caller, Pop(queue)->caller);
  }
}

TEST(RequestQueue, CountsOnlyWhatIsServedBefore) {
  for (int n = 0; n < 10; ++n) {
    Add(1);
  }
  Add(2);
  LONGS_EQUAL(2, CountAhead(queue, {.caller = 3}));
  LONGS_EQUAL(3, CountAhead(queue, {.caller = 2}));
  LONGS_EQUAL(21, CountAhead(queue, {.caller = 1}));
  LONGS_EQUAL(1, CountAhead(queue, {.caller = 3, .counts_double = true}));
}

TEST(RequestQueue, LaterOnesNeverDelayACallersFirst) {
  Random random{7};
  for (int round = 0; round < 200; ++round) {
    queue = {};
    Add(100, true);
    for (int n = 0; n < 30; ++n) {
      Add(random(20), random(2) == 0);
    }
    const QueueItem own{.request = RequestHandle{next_request++},
                        .caller = 50,
                        .counts_double = random(2) == 0};
    const auto most = CountAhead(queue, own);
    Push(queue, own);
    std::size_t before = 0;
    while (Pop(queue)->request != own.request) {
      ++before;
      Add(random(20), random(3) != 0);
      Add(random(20), random(3) != 0);
    }
    CHECK(before <= most + 2);  // Two doubles may have been owed.
  }
}

TEST(RequestQueue, VictimIsTheNewestOfAGreedyCaller) {
  for (int n = 0; n < 4; ++n) {
    Add(1);
  }
  Add(2);
  CHECK_FALSE(ChooseVictim(queue, {.caller = 3}).has_value());
  const auto newest = Add(1);
  CHECK(ChooseVictim(queue, {.caller = 3})->request == newest.request);
  CHECK_FALSE(ChooseVictim(queue, {.caller = 1}).has_value());
  Add(2);
  CHECK_FALSE(ChooseVictim(queue, {.caller = 2}).has_value());
}

TEST(RequestQueue, RemoveLeavesNoEmptyLine) {
  const auto item = Add(1);
  CHECK(Remove(queue, item));
  CHECK_FALSE(Remove(queue, item));
  LONGS_EQUAL(0, SizeOf(queue));
  CHECK_FALSE(Pop(queue).has_value());
}

TEST(RequestQueue, AClassThatWasServedOfLateIsExpectedAgain) {
  Add(1, true);
  Add(2);
  Pop(queue);
  // One ordinary request waits; two double ones may yet come before each.
  LONGS_EQUAL(5, CountAhead(queue, {.caller = 3}));
  for (int n = 0; n < 40; ++n) {
    Add(2);
    Pop(queue);
  }
  LONGS_EQUAL(1, CountAhead(queue, {.caller = 3}));
}
