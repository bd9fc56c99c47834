#include "coordination/steering_internal.h"

namespace hawthornbank::detail {

auto MatchSteeredFlow(const SteeredFlow& flow, std::uint32_t sequence)
    -> FlowMatch {
  return MatchFlow(
      {.caller = {.first = flow.opening.has_value()
                               ? std::optional(flow.opening->sequence)
                               : std::nullopt,
                  .latest = flow.caller_sequence}},
      {.caller = sequence});
}

auto IsSearchForOtherFlow(const Steering& steering, const FlowKey& flow)
    -> bool {
  const auto known = steering.flows.find(flow);
  const auto search = steering.searches.flows.find(flow);
  return known != steering.flows.end() &&
         search != steering.searches.flows.end() &&
         MatchSteeredFlow(known->second, search->second.sequence) ==
             FlowMatch::kOther;
}

auto EraseAcknowledgedOpening(Steering& steering,
                              const FlowKey& flow,
                              const FlowPacket& packet) -> void {
  const auto opening = steering.openings.find(flow);
  if (opening != steering.openings.end() && packet.has_acknowledgement &&
      MatchFlow({.caller = {.first = opening->second.sequence}},
                {.caller = packet.sequence}) != FlowMatch::kOther) {
    steering.openings.erase(opening);
  }
}

}  // namespace hawthornbank::detail
