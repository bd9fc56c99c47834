#include "hawthornbank/flow_identity.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

constexpr std::uint32_t kMegabyte = 1U << 20U;
constexpr FlowNumbers kFlow{.caller = {.first = 1000, .latest = 5000},
                            .target = {.first = 0xFFFFFF00, .latest = 256}};

auto Match(std::optional<std::uint32_t> caller,
           std::optional<std::uint32_t> target,
           const FlowNumbers& flow = kFlow) -> FlowMatch {
  return MatchFlow(flow, {.caller = caller, .target = target});
}

}  // namespace

TEST_GROUP(FlowIdentity){};

TEST(FlowIdentity, MessageWithBothNumbersOfTheFlowIsOfTheFlow) {
  CHECK(Match(1001, 0xFFFFFF01) == FlowMatch::kSame);
  CHECK(Match(5000 + kMaxSequenceLead, 256) == FlowMatch::kSame);
}

TEST(FlowIdentity, MessageWithOneNumberOfAnotherFlowIsOfThatFlow) {
  CHECK(Match(1001, 900'000'000) == FlowMatch::kOther);
  CHECK(Match(900'000'000, 256) == FlowMatch::kOther);
  CHECK(Match(0U - 900'000'000, std::nullopt) == FlowMatch::kOther);
}

// A caller's reset names no number of the target.
TEST(FlowIdentity, SingleNumberMustHaveBeenUsedByTheFlow) {
  CHECK(Match(5000, std::nullopt) == FlowMatch::kSame);
  CHECK(Match(999, std::nullopt) == FlowMatch::kUnknown);
  CHECK(Match(5001 + kMaxSequenceLead, std::nullopt) == FlowMatch::kUnknown);
  CHECK(Match(std::nullopt, 0) == FlowMatch::kSame);
  CHECK(Match(std::nullopt, 0xFFFFFEFF) == FlowMatch::kUnknown);
}

TEST(FlowIdentity, MessageOfAFlowWithoutKnownNumbersCannotBeTold) {
  CHECK(Match(1001, 5, {}) == FlowMatch::kUnknown);
  CHECK(Match(std::nullopt, std::nullopt) == FlowMatch::kUnknown);
}

// Only the latest number is known of a flow that is older than the process.
TEST(FlowIdentity, LateMessageOfAFlowWithoutKnownFirstNumberIsOfTheFlow) {
  const FlowNumbers flow{.caller = {.latest = 20 * kMegabyte},
                         .target = {.latest = 20 * kMegabyte}};
  CHECK(Match(5 * kMegabyte, 20 * kMegabyte, flow) == FlowMatch::kSame);
  CHECK(Match(20 * kMegabyte, std::nullopt, flow) == FlowMatch::kUnknown);
  CHECK(Match(3 * kMegabyte, 20 * kMegabyte, flow) == FlowMatch::kOther);
}

TEST(FlowIdentity, RangeOfAFlowMayBeLargerThanTheMaximumDistance) {
  const FlowNumbers flow{.caller = {.first = 1000, .latest = 100 * kMegabyte}};
  CHECK(Match(2000, std::nullopt, flow) == FlowMatch::kSame);
}
