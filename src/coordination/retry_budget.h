#ifndef HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_
#define HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_

#include <algorithm>

/// @file
/// Retry budget: limits retries to a share of the first attempts, to prevent
/// retry storms.
namespace hawthornbank {

/// Token bucket that each first attempt fills by `share`, and each retry
/// empties by one.
struct RetryBudget {
  double share = 0.10;  ///< Retries added by one first attempt.
  double limit = 10;    ///< Capacity of the bucket, in retries.
  double saved = 0;     ///< Number of retries currently allowed.
};

/// Adds the share of one first attempt to the budget.
/// @param budget The budget.
inline auto RecordFirstAttempt(RetryBudget& budget) -> void {
  budget.saved = std::min(budget.limit, budget.saved + budget.share);
}

/// Takes one retry from the budget if at least one retry is left.
/// @param budget The budget.
/// @return Whether the retry is allowed.
inline auto TakeRetryFromBudget(RetryBudget& budget) -> bool {
  // Ten times a share of 0.1 adds up to slightly less than one.
  constexpr double kRoundingTolerance = 1e-9;
  if (budget.saved + kRoundingTolerance < 1) {
    return false;
  }
  budget.saved = std::max(0.0, budget.saved - 1);
  return true;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_
