#include <array>
#include <cstddef>

#include "hawthornbank/request_gate.h"

namespace hawthornbank {
namespace {

constexpr auto kGateCounterCount =
    static_cast<std::size_t>(GateCounter::kCount);

// Names of the counters in metrics, in the order of GateCounter.
constexpr std::array<std::string_view, kGateCounterCount> kGateCounterNames = {{
    "started",
    "answered",
    "challenged",
    "kept_answer",
    "joined_running",
    "duplicate_message",
    "passed_to_other_target",
    "refused_malformed",
    "refused_too_large",
    "refused_deadline",
    "refused_queue_full",
    "refused_would_be_late",
    "refused_expired_in_queue",
    "refused_for_fairness",
    "refused_unhealthy",
    "refused_draining",
    "refused_connections",
    "refused_exchanges",
    "refused_ledger_full",
    "refused_void_token",
    "refused_conflict",
    "refused_unknown_request",
    "refused_by_target",
    "unknown_token_forged",
    "unknown_other_target",
    "unknown_other_incarnation",
    "unknown_token_forgotten",
    "unknown_gave_up",
    "unknown_lost",
    "unknown_aborted",
    "cancelled_queued",
    "cancelled_running",
    "retried_target_shed",
    "retried_lost",
    "retry_refused_budget",
    "retry_refused_deadline",
    "late_answer_kept",
    "late_answer_dropped",
    "unmatched_answer",
    "cancel_confirmed",
    "cancel_unconfirmed",
}};
static_assert(!kGateCounterNames.back().empty());

}  // namespace

auto GetGateCounterName(GateCounter counter) -> std::string_view {
  return kGateCounterNames[static_cast<std::size_t>(counter)];
}

}  // namespace hawthornbank
