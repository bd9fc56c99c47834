#ifndef HAWTHORNBANK_SOAK_JUDGE_DETAIL_H_
#define HAWTHORNBANK_SOAK_JUDGE_DETAIL_H_

#include <string>

#include "soak/judge.h"

/// @file
/// Helpers shared by the checks of the rules.
namespace hawthornbank::soak::detail {

/// Adds a violation that isn't about one flow.
/// @param rule Name in soak/rules.h.
auto AddViolation(InvariantChecker& checker,
                  const char* rule,
                  std::string detail,
                  TimePoint now) -> void;

/// Adds a violation about one flow.
/// @param rule Name in soak/rules.h.
auto AddFlowViolation(InvariantChecker& checker,
                      const char* rule,
                      const FlowId& flow,
                      const std::string& detail,
                      TimePoint now) -> void;

/// @return The flow as text: port of the caller, route and opening sequence.
auto DescribeFlow(const FlowId& flow) -> std::string;

/// Checks that an opening reaches a service as a configuration allows that may
/// be in force (CONFIG).
/// @param sent The opening as its caller sent it.
auto CheckConfiguration(InvariantChecker& checker,
                        const TakenOpening& opening,
                        const SentOpening& sent,
                        TimePoint now) -> void;

}  // namespace hawthornbank::soak::detail

#endif  // HAWTHORNBANK_SOAK_JUDGE_DETAIL_H_
