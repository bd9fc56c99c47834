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
/// What is known about the non-idempotent requests of one target.
///
/// An entry is kept until its token has been invalid for the retention time.
/// A full ledger never forgets early: the gate refuses new requests instead.
namespace hawthornbank {

/// How far a request has come.
enum class RequestState : std::uint8_t {
  kPending,   ///< Waiting or running; `request` names it.
  kFinished,  ///< `answer` is the target's answer.
  kUnknown,   ///< Started, and the outcome is lost.
  kRefused,   ///< Never started under the tokens issued up to `issued`.
};

/// One request in the ledger.
struct LedgerEntry {
  RequestState state = RequestState::kPending;
  std::uint64_t fingerprint = 0;
  TimePoint issued{};      ///< Issue instant of the token last used.
  TimePoint keep_until{};  ///< May be forgotten from then on.
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
  std::size_t limit = 0;
  std::size_t byte_limit = std::numeric_limits<std::size_t>::max();
  std::size_t bytes = 0;  ///< Of all entries, by EntryBytes.
  std::unordered_map<std::string, LedgerEntry> entries;
  std::deque<Expiry> expiries;  ///< In the order of insertion.
};

/// @param ledger The ledger.
/// @param id Identity of a request.
/// @return Its entry, or null.
auto FindEntry(RequestLedger& ledger, const std::string& id) -> LedgerEntry*;

/// Adds or replaces an entry; old ones are dropped first if they may be.
/// @param ledger The ledger.
/// @param id Identity of the request.
/// @param entry What is known.
/// @param now The present instant.
/// @return False when the ledger is full, by entries or by bytes, and nothing
///   was added.
auto AddEntry(RequestLedger& ledger,
              const std::string& id,
              LedgerEntry entry,
              TimePoint now) -> bool;

/// Notes that a request has finished, and keeps its answer.
/// @param ledger The ledger.
/// @param id Identity of a request in the ledger.
/// @param answer The target's answer.
auto KeepAnswer(RequestLedger& ledger,
                const std::string& id,
                const Answer& answer) -> void;

/// @param id Identity of a request.
/// @param answer Its kept answer, or null.
/// @return Bytes that the ledger takes for it, without the allocator's own.
auto EntryBytes(const std::string& id, const Answer& answer) -> std::size_t;

/// Drops the entries that may be forgotten.
/// @param ledger The ledger.
/// @param now The present instant.
auto ForgetOldEntries(RequestLedger& ledger, TimePoint now) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STATE_REQUEST_LEDGER_H_
