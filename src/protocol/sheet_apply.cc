#include <algorithm>
#include <cstdint>

#include "hawthornbank/error.h"
#include "protocol/sheet.h"

namespace hawthornbank {
namespace {

auto ContainsName(const std::vector<std::string>& names,
                  const std::string& name) -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto ComputeTotalSlots(const Service& service) -> std::uint64_t {
  return std::uint64_t{service.target_count} * service.slots;
}

auto ComputeMaxConnections(const Service& service) -> std::uint64_t {
  return std::uint64_t{service.target_count} * service.max_connections;
}

auto IsReducedToHalfOrLess(std::uint64_t before, std::uint64_t after) -> bool {
  return before > 0 && 2 * after <= before;
}

auto AppendRefusalLine(std::string& refusals, const std::string& refusal)
    -> void {
  refusals += (refusals.empty() ? "" : "\n") + refusal;
}

auto AppendDropOrMoveRefusal(const Service& before,
                             const Service* after,
                             const SheetConsent& consent,
                             std::string& refusals) -> void {
  if (ContainsName(consent.droppable_services, before.name)) {
    return;
  }
  const std::string how_to_allow = "; to allow it: --allow-drop " + before.name;
  if (after == nullptr) {
    AppendRefusalLine(refusals, "service '" + before.name +
                                    "' would be dropped, which ends its flows" +
                                    how_to_allow);
  } else if (after->address != before.address ||
             after->transport != before.transport) {
    AppendRefusalLine(refusals,
                      "service '" + before.name +
                          "' would change its address or transport, which "
                          "ends its flows" +
                          how_to_allow);
  }
}

auto AppendShrinkRefusals(const Service& before,
                          const Service& after,
                          const SheetConsent& consent,
                          std::string& refusals) -> void {
  if (ContainsName(consent.shrinkable_services, before.name)) {
    return;
  }
  const std::string how_to_allow =
      "; to allow it: --allow-shrink " + before.name;
  const auto refuse_reduction = [&](const char* unit, std::uint64_t from,
                                    std::uint64_t to) {
    if (IsReducedToHalfOrLess(from, to)) {
      AppendRefusalLine(refusals,
                        "service '" + before.name + "' would go from " +
                            std::to_string(from) + " to " + std::to_string(to) +
                            " " + unit + how_to_allow);
    }
  };
  refuse_reduction("slots", ComputeTotalSlots(before),
                   ComputeTotalSlots(after));
  refuse_reduction("connections", ComputeMaxConnections(before),
                   ComputeMaxConnections(after));
}

auto FindServiceByName(const std::vector<Service>& services,
                       const std::string& name) -> const Service* {
  const auto it = std::find_if(
      services.begin(), services.end(),
      [&name](const Service& service) { return service.name == name; });
  return it == services.end() ? nullptr : &*it;
}

auto RefuseChangesWithoutConsent(const Configuration& configuration,
                                 const Sheet& sheet,
                                 const SheetConsent& consent) -> void {
  std::string refusals;
  for (const auto& before : configuration.services) {
    const Service* const after = FindServiceByName(sheet.services, before.name);
    AppendDropOrMoveRefusal(before, after, consent, refusals);
    if (after != nullptr) {
      AppendShrinkRefusals(before, *after, consent, refusals);
    }
  }
  if (!refusals.empty()) {
    throw Error(ErrorKind::kInvalidSettings, refusals);
  }
}

}  // namespace

auto ApplySheet(const Configuration& configuration,
                const Sheet& sheet,
                const SheetConsent& consent) -> Configuration {
  RefuseChangesWithoutConsent(configuration, sheet, consent);
  Configuration result = configuration;
  result.services = sheet.services;
  for (auto& service : result.services) {
    const Service* const before = FindService(configuration, service.name);
    service.id =
        before != nullptr ? before->id : ServiceId{++result.last_service_id};
  }
  std::sort(result.services.begin(), result.services.end(),
            [](const Service& a, const Service& b) { return a.id < b.id; });
  result.demand.clear();
  for (const auto& it : sheet.demand) {
    result.demand.push_back(it.row);
    result.demand.back().service = FindService(result, it.service)->id;
  }
  return result;
}

}  // namespace hawthornbank
