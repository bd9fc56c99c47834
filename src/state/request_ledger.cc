#include "state/request_ledger.h"

#include <utility>

namespace hawthornbank {

auto FindEntry(RequestLedger& ledger, const std::string& id) -> LedgerEntry* {
  const auto it = ledger.entries.find(id);
  return it == ledger.entries.end() ? nullptr : &it->second;
}

auto AddEntry(RequestLedger& ledger,
              const std::string& id,
              LedgerEntry entry,
              TimePoint now) -> bool {
  ForgetOldEntries(ledger, now);
  const bool known = ledger.entries.contains(id);
  if (!known && ledger.entries.size() >= ledger.limit) {
    return false;
  }
  if (!known) {
    ledger.expiries.push_back({.when = entry.keep_until, .id = id});
  }
  ledger.entries.insert_or_assign(id, std::move(entry));
  return true;
}

auto ForgetOldEntries(RequestLedger& ledger, TimePoint now) -> void {
  while (!ledger.expiries.empty() && ledger.expiries.front().when <= now) {
    auto oldest = std::move(ledger.expiries.front());
    ledger.expiries.pop_front();
    const auto it = ledger.entries.find(oldest.id);
    const auto& entry = it->second;
    const bool pending = entry.state == RequestState::kPending;
    if (!pending && entry.keep_until <= now) {
      ledger.entries.erase(it);
      continue;
    }
    // Used again since it was added, or still running: look again later.
    constexpr std::chrono::seconds kLookAgain{1};
    oldest.when = pending ? now + kLookAgain : entry.keep_until;
    ledger.expiries.push_back(std::move(oldest));
  }
}

}  // namespace hawthornbank
