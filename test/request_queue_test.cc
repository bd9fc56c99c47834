#include "coordination/request_queue.h"

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

TEST(RequestQueue, DoubleOnesAreTakenTwoATurn) {
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
  LONGS_EQUAL(2, CountAhead(queue, 3));
  LONGS_EQUAL(3, CountAhead(queue, 2));
  LONGS_EQUAL(11, CountAhead(queue, 1));
}

TEST(RequestQueue, VictimIsTheNewestOfTheGreediest) {
  Add(1);
  Add(1);
  const auto newest = Add(1);
  Add(2);
  const auto victim = ChooseVictim(queue, {.caller = 3});
  CHECK(victim->request == newest.request);
  CHECK_FALSE(ChooseVictim(queue, {.caller = 1}).has_value());
}

TEST(RequestQueue, OrdinaryGivesWayToDoubleButNotTheOtherWay) {
  const auto ordinary = Add(1);
  Add(2, true);
  Add(2, true);
  Add(2, true);
  const auto victim = ChooseVictim(queue, {.caller = 2, .counts_double = true});
  CHECK(victim->request == ordinary.request);
  Remove(queue, ordinary);
  CHECK_FALSE(ChooseVictim(queue, {.caller = 1}).has_value());
}

TEST(RequestQueue, RemoveLeavesNoEmptyLine) {
  const auto item = Add(1);
  CHECK(Remove(queue, item));
  CHECK_FALSE(Remove(queue, item));
  LONGS_EQUAL(0, queue.size);
  CHECK_FALSE(Pop(queue).has_value());
}
