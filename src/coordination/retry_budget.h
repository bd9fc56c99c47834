#ifndef HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_
#define HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_

#include <algorithm>

/// @file
/// Bound on retries as a share of first tries.
namespace hawthornbank {

/// Tokens earned by first tries and spent by retries.
struct RetryBudget {
  double share = 0.10;  ///< Retries earned by one first try.
  double limit = 10;    ///< Most retries that can be saved up.
  double saved = 0;     ///< Retries that may be made now.
};

/// Accounts for a first try.
/// @param budget The budget.
inline auto OnFirstTry(RetryBudget& budget) -> void {
  budget.saved = std::min(budget.limit, budget.saved + budget.share);
}

/// Takes one retry from the budget.
/// @param budget The budget.
/// @return Whether the retry may be made.
inline auto SpendRetry(RetryBudget& budget) -> bool {
  // Ten times a share of 0.1 sums up to a little less than one.
  constexpr double kRounding = 1e-9;
  if (budget.saved + kRounding < 1) {
    return false;
  }
  budget.saved = std::max(0.0, budget.saved - 1);
  return true;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_RETRY_BUDGET_H_
