#include "state/request_ledger.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::seconds;

namespace {

auto At(int n) -> TimePoint {
  return TimePoint{seconds{n}};
}

}  // namespace

TEST_GROUP(RequestLedger) {
  RequestLedger ledger{.limit = 2};

  auto Add(const char* id, int keep_until, int now)->bool {
    return AddEntry(
        ledger, id,
        {.state = RequestState::kFinished, .keep_until = At(keep_until)},
        At(now));
  }
};

TEST(RequestLedger, FullLedgerForgetsNothingEarly) {
  CHECK(Add("a", 10, 0));
  CHECK(Add("b", 10, 0));
  CHECK_FALSE(Add("c", 10, 9));
  CHECK(FindEntry(ledger, "a") != nullptr);
  CHECK(Add("c", 20, 10));
  POINTERS_EQUAL(nullptr, FindEntry(ledger, "a"));
}

TEST(RequestLedger, KnownEntryIsReplacedWhenFull) {
  CHECK(Add("a", 10, 0));
  CHECK(Add("b", 10, 0));
  CHECK(Add("a", 30, 5));
  ForgetOldEntries(ledger, At(29));
  CHECK(FindEntry(ledger, "a") != nullptr);
  POINTERS_EQUAL(nullptr, FindEntry(ledger, "b"));
  ForgetOldEntries(ledger, At(30));
  LONGS_EQUAL(0, ledger.entries.size());
  LONGS_EQUAL(0, ledger.expiries.size());
}

TEST(RequestLedger, PendingEntryStaysPastItsTime) {
  AddEntry(ledger, "a", {.keep_until = At(1)}, At(0));
  ForgetOldEntries(ledger, At(100));
  CHECK(FindEntry(ledger, "a") != nullptr);
  FindEntry(ledger, "a")->state = RequestState::kUnknown;
  ForgetOldEntries(ledger, At(200));
  POINTERS_EQUAL(nullptr, FindEntry(ledger, "a"));
}

TEST(RequestLedger, FullByBytesUntilOldAnswersAreForgotten) {
  ledger.byte_limit = 2000;
  CHECK(Add("a", 10, 0));
  KeepAnswer(ledger, "a",
             std::make_shared<const std::vector<std::uint8_t>>(2000));
  CHECK(ledger.bytes > 2000);
  CHECK_FALSE(Add("b", 20, 9));
  CHECK(Add("b", 20, 10));
  LONGS_EQUAL(EntryBytes("b", nullptr), ledger.bytes);
  ForgetOldEntries(ledger, At(20));
  LONGS_EQUAL(0, ledger.bytes);
}

TEST(RequestLedger, BytesOfAnEntry) {
  const auto answer = std::make_shared<const std::vector<std::uint8_t>>(100);
  const auto alone = EntryBytes("a", nullptr);
  CHECK(alone >= sizeof(LedgerEntry) + sizeof(RequestLedger::Expiry));
  CHECK(alone <= 256);
  CHECK(EntryBytes("a", answer) >= alone + 100);
  constexpr std::size_t kTwoTexts = 130;  // Of 64 bytes and their ends.
  LONGS_EQUAL(alone + kTwoTexts, EntryBytes(std::string(64, 'x'), nullptr));
}
