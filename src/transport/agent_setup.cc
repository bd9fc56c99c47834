#include "transport/agent_setup.h"

#include "protocol/message.h"

namespace hawthornbank::transport {
namespace {

constexpr double kPercent = 100;

}  // namespace

auto MakeGateOptions(const Settings& settings,
                     const Service& service,
                     Incarnation incarnation) -> CoapGateOptions {
  const KeyRing keys = DeriveKeyRing(settings.key, settings.previous_key);
  CoapGateOptions options{
      .gate = {.target = TargetId{HashName(settings.name)},
               .incarnation = incarnation,
               .slots = service.slots,
               .retry_share = settings.retry_budget_percent / kPercent},
      .max_connections = service.max_connections,
      .token_keys = {keys.control},
      .forwards_to_other_targets = true,
      .has_double_weight = service.non_idempotent_counts_double,
  };
  if (keys.previous_control) {
    options.token_keys.push_back(*keys.previous_control);
  }
  return options;
}

auto MakeAnnouncerOptions(const Settings& settings,
                          const Service& service,
                          Incarnation incarnation) -> AnnouncerOptions {
  return AnnouncerOptions{
      .self = TargetRecord{.id = TargetId{HashName(settings.name)},
                           .name = settings.name,
                           .service = service.id,
                           .agent = settings.peer,
                           .zone = settings.zone,
                           .incarnation = incarnation},
      .seeds = settings.balancers,
  };
}

}  // namespace hawthornbank::transport
