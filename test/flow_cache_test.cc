#include "hawthornbank/flow_cache.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

auto Flow(std::uint32_t n) -> FlowKey {
  return FlowKey{.service = ServiceId{1}, .caller = {.address = n, .port = 7}};
}

const TimePoint kStart{std::chrono::seconds{100}};
const Endpoint kOwner{.address = 5, .port = 6};

}  // namespace

TEST_GROUP(FlowCache){};

TEST(FlowCache, FindsWhatWasInserted) {
  FlowCache cache(1000);
  CHECK(!cache.Find(Flow(1), kStart));
  CHECK(!cache.Insert(Flow(1), kOwner, kStart));
  CHECK(cache.Find(Flow(1), kStart)->agent == kOwner);
  auto other = Flow(1);
  other.service = ServiceId{2};
  CHECK(!cache.Find(other, kStart));
  cache.Erase(Flow(1));
  CHECK(!cache.Find(Flow(1), kStart));
  LONGS_EQUAL(0, cache.Size());
}

TEST(FlowCache, IsBoundedAndEvictsTheOldest) {
  FlowCache cache(2048);
  const auto capacity = static_cast<std::uint32_t>(cache.Capacity());
  std::size_t evicted = 0;
  for (std::uint32_t n = 0; n < capacity * 4; ++n) {
    const auto now = kStart + std::chrono::milliseconds{n};
    evicted += cache.Insert(Flow(n), kOwner, now) ? 1 : 0;
    CHECK(cache.Find(Flow(n), now).has_value());
  }
  CHECK(cache.Size() <= capacity);
  LONGS_EQUAL(capacity * 4, cache.Size() + evicted);
}

TEST(FlowCache, TellsWhenAnEntryWasLastUsed) {
  FlowCache cache(1000);
  cache.Insert(Flow(1), kOwner, kStart);
  const auto later = kStart + std::chrono::seconds{5};
  const auto found = cache.Find(Flow(1), later);
  CHECK(found->last_used < kStart + std::chrono::milliseconds{3});
  CHECK(found->last_used > kStart - std::chrono::milliseconds{3});
}

TEST(FlowCache, EntriesAreSmall) {
  CHECK(FlowCache::EntryBytes() <= 64);
}
