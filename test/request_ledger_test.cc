#include "state/request_ledger.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::seconds;

namespace {

auto MakeTime(int n) -> TimePoint {
  return TimePoint{seconds{n}};
}

}  // namespace

TEST_GROUP(RequestLedger) {
  RequestLedger ledger{.limit = 2};

  auto AddFinishedEntry(const char* id, int keep_until, int now)->bool {
    return AddOrReplaceLedgerEntry(
        ledger, id,
        {.state = RequestState::kFinished, .keep_until = MakeTime(keep_until)},
        MakeTime(now));
  }
};

TEST(RequestLedger, FullLedgerErasesNoEntryEarly) {
  CHECK(AddFinishedEntry("a", 10, 0));
  CHECK(AddFinishedEntry("b", 10, 0));
  CHECK_FALSE(AddFinishedEntry("c", 10, 9));
  CHECK(FindLedgerEntry(ledger, "a") != nullptr);
  CHECK(AddFinishedEntry("c", 20, 10));
  POINTERS_EQUAL(nullptr, FindLedgerEntry(ledger, "a"));
}

TEST(RequestLedger, FullLedgerStillReplacesAKnownEntry) {
  CHECK(AddFinishedEntry("a", 10, 0));
  CHECK(AddFinishedEntry("b", 10, 0));
  CHECK(AddFinishedEntry("a", 30, 5));
  EraseExpiredEntries(ledger, MakeTime(29));
  CHECK(FindLedgerEntry(ledger, "a") != nullptr);
  POINTERS_EQUAL(nullptr, FindLedgerEntry(ledger, "b"));
  EraseExpiredEntries(ledger, MakeTime(30));
  LONGS_EQUAL(0, ledger.entries.size());
  LONGS_EQUAL(0, ledger.expiries.size());
}

TEST(RequestLedger, PendingEntryIsKeptPastItsExpiry) {
  AddOrReplaceLedgerEntry(ledger, "a", {.keep_until = MakeTime(1)},
                          MakeTime(0));
  EraseExpiredEntries(ledger, MakeTime(100));
  CHECK(FindLedgerEntry(ledger, "a") != nullptr);
  FindLedgerEntry(ledger, "a")->state = RequestState::kUnknown;
  EraseExpiredEntries(ledger, MakeTime(200));
  POINTERS_EQUAL(nullptr, FindLedgerEntry(ledger, "a"));
}

TEST(RequestLedger, LedgerIsFullByBytesUntilOldAnswersExpire) {
  ledger.byte_limit = 2000;
  CHECK(AddFinishedEntry("a", 10, 0));
  StoreLedgerAnswer(ledger, "a",
                    std::make_shared<const std::vector<std::uint8_t>>(2000));
  CHECK(ledger.bytes > 2000);
  CHECK_FALSE(AddFinishedEntry("b", 20, 9));
  CHECK(AddFinishedEntry("b", 20, 10));
  LONGS_EQUAL(ComputeLedgerEntryBytes("b", nullptr), ledger.bytes);
  EraseExpiredEntries(ledger, MakeTime(20));
  LONGS_EQUAL(0, ledger.bytes);
}

TEST(RequestLedger, EntryBytesIncludeIdentityAndAnswer) {
  const auto answer = std::make_shared<const std::vector<std::uint8_t>>(100);
  const auto bytes_without_answer = ComputeLedgerEntryBytes("a", nullptr);
  CHECK(bytes_without_answer >=
        sizeof(LedgerEntry) + sizeof(RequestLedger::Expiry));
  CHECK(bytes_without_answer <= 256);
  CHECK(ComputeLedgerEntryBytes("a", answer) >= bytes_without_answer + 100);
  // Two copies of the identity, each with 64 bytes and a null character.
  constexpr std::size_t kTwoIdentityBytes = 130;
  LONGS_EQUAL(bytes_without_answer + kTwoIdentityBytes,
              ComputeLedgerEntryBytes(std::string(64, 'x'), nullptr));
}
