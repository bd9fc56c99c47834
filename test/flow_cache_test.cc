#include "hawthornbank/flow_cache.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

auto MakeFlow(std::uint32_t n) -> FlowKey {
  return FlowKey{.service = ServiceId{1}, .caller = {.address = n, .port = 7}};
}

const TimePoint kStart{std::chrono::seconds{100}};
const Endpoint kOwner{.address = 5, .port = 6};

}  // namespace

TEST_GROUP(FlowCache){};

TEST(FlowCache, FindsInsertedEntriesUntilErased) {
  FlowCache cache(1000);
  CHECK(!cache.FindOwner(MakeFlow(1), kStart));
  CHECK(!cache.InsertOrReplaceOwner(MakeFlow(1), kOwner, kStart));
  CHECK(cache.FindOwner(MakeFlow(1), kStart)->agent == kOwner);
  auto other = MakeFlow(1);
  other.service = ServiceId{2};
  CHECK(!cache.FindOwner(other, kStart));
  cache.EraseCachedOwner(MakeFlow(1));
  CHECK(!cache.FindOwner(MakeFlow(1), kStart));
  LONGS_EQUAL(0, cache.CountEntries());
}

TEST(FlowCache, SizeIsBoundedByEviction) {
  FlowCache cache(2048);
  const auto capacity = static_cast<std::uint32_t>(cache.GetCapacity());
  std::size_t evicted = 0;
  for (std::uint32_t n = 0; n < capacity * 4; ++n) {
    const auto now = kStart + std::chrono::milliseconds{n};
    evicted += cache.InsertOrReplaceOwner(MakeFlow(n), kOwner, now) ? 1 : 0;
    CHECK(cache.FindOwner(MakeFlow(n), now).has_value());
  }
  CHECK(cache.CountEntries() <= capacity);
  LONGS_EQUAL(capacity * 4, cache.CountEntries() + evicted);
}

TEST(FlowCache, LookupReportsTheTimeOfThePreviousUse) {
  FlowCache cache(1000);
  cache.InsertOrReplaceOwner(MakeFlow(1), kOwner, kStart);
  const auto later = kStart + std::chrono::seconds{5};
  const auto found = cache.FindOwner(MakeFlow(1), later);
  CHECK(found->last_used < kStart + std::chrono::milliseconds{3});
  CHECK(found->last_used > kStart - std::chrono::milliseconds{3});
}

TEST(FlowCache, EntryTakesAtMost64Bytes) {
  CHECK(FlowCache::GetEntryBytes() <= 64);
}
