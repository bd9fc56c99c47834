#ifndef HAWTHORNBANK_STATE_REQUEST_LEDGER_H_
#define HAWTHORNBANK_STATE_REQUEST_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <unordered_map>

#include "hawthornbank/request_gate.h"

/// @file
/// Record of the non-idempotent requests of one target, so that none of them
/// runs twice.
///
/// An entry is kept at least for the retention time after the request's token
/// has expired. A full ledger erases no entry early; instead, the gate refuses
/// new requests.
namespace hawthornbank {

/// Progress of a request.
enum class RequestState : std::uint8_t {
  kPending,   ///< Queued, delayed or running; see `request`.
  kFinished,  ///< `answer` is the target's answer.
  kUnknown,   ///< Started, but its outcome is unknown.
  kRefused,   ///< Not run with any token issued up to `issued`.
};

/// One request in the ledger.
struct LedgerEntry {
  RequestState state = RequestState::kPending;
  std::uint64_t fingerprint = 0;
  TimePoint issued{};      ///< Issue time of the request's last token.
  TimePoint keep_until{};  ///< Earliest time to erase the entry.
  RequestHandle request{};
  ErrorKind error{};
  Answer answer;
};

/// Bounded map from request identity to entry.
struct RequestLedger {
  struct Expiry {
    TimePoint when;
    std::string id;
  };
  std::size_t limit = 0;  ///< Maximum number of entries.
  /// Maximum size of all entries, in bytes.
  std::size_t byte_limit = std::numeric_limits<std::size_t>::max();
  std::size_t bytes = 0;  ///< Sum of ComputeLedgerEntryBytes over all entries.
  std::unordered_map<std::string, LedgerEntry> entries;
  std::deque<Expiry> expiries;  ///< Expiry checks, in order of insertion.
};

/// @param ledger The ledger.
/// @param id Identity of a request.
/// @return The request's entry, or null.
auto FindLedgerEntry(RequestLedger& ledger, const std::string& id)
    -> LedgerEntry*;

/// Erases expired entries, then adds the entry of a request or replaces the
/// entry that the request already has.
/// @param ledger The ledger.
/// @param id Identity of the request.
/// @param entry The new entry.
/// @param now Current time.
/// @return False if the ledger is full, by entries or by bytes, and the request
///   has no entry to replace.
auto AddOrReplaceLedgerEntry(RequestLedger& ledger,
                             const std::string& id,
                             LedgerEntry entry,
                             TimePoint now) -> bool;

/// Marks a request as finished and stores the target's answer.
/// @param ledger The ledger.
/// @param id Identity of a request in the ledger.
/// @param answer The target's answer.
auto StoreLedgerAnswer(RequestLedger& ledger,
                       const std::string& id,
                       const Answer& answer) -> void;

/// @param id Identity of a request.
/// @param answer Stored answer to the request, or null.
/// @return Size of the entry in bytes, without the allocator's overhead.
auto ComputeLedgerEntryBytes(const std::string& id, const Answer& answer)
    -> std::size_t;

/// Erases the entries whose `keep_until` has passed, except pending ones.
/// @param ledger The ledger.
/// @param now Current time.
auto EraseExpiredEntries(RequestLedger& ledger, TimePoint now) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STATE_REQUEST_LEDGER_H_
