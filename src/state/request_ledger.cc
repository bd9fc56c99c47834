#include "state/request_ledger.h"

#include <utility>

namespace hawthornbank {

auto FindLedgerEntry(RequestLedger& ledger, const std::string& id)
    -> LedgerEntry* {
  const auto it = ledger.entries.find(id);
  return it == ledger.entries.end() ? nullptr : &it->second;
}

auto AddOrReplaceLedgerEntry(RequestLedger& ledger,
                             const std::string& id,
                             LedgerEntry entry,
                             TimePoint now) -> bool {
  EraseExpiredEntries(ledger, now);
  const bool known = ledger.entries.contains(id);
  const bool full = ledger.entries.size() >= ledger.limit ||
                    ledger.bytes >= ledger.byte_limit;
  if (!known && full) {
    return false;
  }
  if (!known) {
    ledger.expiries.push_back({.when = entry.keep_until, .id = id});
  }
  if (known) {
    ledger.bytes -= ComputeLedgerEntryBytes(id, ledger.entries.at(id).answer);
  }
  ledger.bytes += ComputeLedgerEntryBytes(id, entry.answer);
  ledger.entries.insert_or_assign(id, std::move(entry));
  return true;
}

auto StoreLedgerAnswer(RequestLedger& ledger,
                       const std::string& id,
                       const Answer& answer) -> void {
  auto& entry = ledger.entries.at(id);
  ledger.bytes -= ComputeLedgerEntryBytes(id, entry.answer);
  entry.state = RequestState::kFinished;
  entry.answer = answer;
  ledger.bytes += ComputeLedgerEntryBytes(id, entry.answer);
}

auto ComputeLedgerEntryBytes(const std::string& id, const Answer& answer)
    -> std::size_t {
  using Node = std::pair<const std::string, LedgerEntry>;
  // A hash map entry's next pointer, cached hash and bucket pointer.
  constexpr std::size_t kNodePointerBytes = 3 * sizeof(void*);
  // The vector object, and the two reference counts of the shared pointer.
  constexpr std::size_t kAnswerOwnerBytes =
      sizeof(Answer::element_type) + 2 * sizeof(void*);
  const bool is_on_heap = id.size() > std::string{}.capacity();
  const std::size_t id_bytes = is_on_heap ? id.size() + 1 : 0;
  const std::size_t answer_bytes =
      answer == nullptr ? 0 : kAnswerOwnerBytes + answer->capacity();
  return sizeof(Node) + kNodePointerBytes + sizeof(RequestLedger::Expiry) +
         2 * id_bytes + answer_bytes;
}

auto EraseExpiredEntries(RequestLedger& ledger, TimePoint now) -> void {
  while (!ledger.expiries.empty() && ledger.expiries.front().when <= now) {
    auto oldest = std::move(ledger.expiries.front());
    ledger.expiries.pop_front();
    const auto it = ledger.entries.find(oldest.id);
    const auto& entry = it->second;
    const bool pending = entry.state == RequestState::kPending;
    if (!pending && entry.keep_until <= now) {
      ledger.bytes -= ComputeLedgerEntryBytes(it->first, entry.answer);
      ledger.entries.erase(it);
      continue;
    }
    // The entry's `keep_until` was extended, or the entry's request is pending.
    // The entry is checked again later.
    constexpr std::chrono::seconds kRecheckInterval{1};
    oldest.when = pending ? now + kRecheckInterval : entry.keep_until;
    ledger.expiries.push_back(std::move(oldest));
  }
}

}  // namespace hawthornbank
