#include <algorithm>
#include <cstdint>

#include "hawthornbank/error.h"
#include "protocol/sheet.h"

namespace hawthornbank {
namespace {

auto Contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto SlotCount(const Service& service) -> std::uint64_t {
  return std::uint64_t{service.target_count} * service.slots;
}

auto ConnectionCount(const Service& service) -> std::uint64_t {
  return std::uint64_t{service.target_count} * service.max_connections;
}

auto IsHalved(std::uint64_t before, std::uint64_t after) -> bool {
  return before > 0 && 2 * after <= before;
}

auto AddRefusal(std::string& refusals, const std::string& line) -> void {
  refusals += (refusals.empty() ? "" : "\n") + line;
}

auto CheckDrop(const Service& before,
               const Service* after,
               const SheetConsent& consent,
               std::string& refusals) -> void {
  if (Contains(consent.drop, before.name)) {
    return;
  }
  const std::string confirm = "; to allow it: --allow-drop " + before.name;
  if (after == nullptr) {
    AddRefusal(refusals, "service '" + before.name +
                             "' would be dropped, which ends its flows" +
                             confirm);
  } else if (after->address != before.address ||
             after->transport != before.transport) {
    AddRefusal(refusals, "service '" + before.name +
                             "' would change its address or transport, which "
                             "ends its flows" +
                             confirm);
  }
}

auto CheckShrink(const Service& before,
                 const Service& after,
                 const SheetConsent& consent,
                 std::string& refusals) -> void {
  if (Contains(consent.shrink, before.name)) {
    return;
  }
  const std::string confirm = "; to allow it: --allow-shrink " + before.name;
  const auto refuse = [&](const char* what, std::uint64_t from,
                          std::uint64_t to) {
    if (IsHalved(from, to)) {
      AddRefusal(refusals, "service '" + before.name + "' would go from " +
                               std::to_string(from) + " to " +
                               std::to_string(to) + " " + what + confirm);
    }
  };
  refuse("slots", SlotCount(before), SlotCount(after));
  refuse("connections", ConnectionCount(before), ConnectionCount(after));
}

auto FindIn(const std::vector<Service>& services, const std::string& name)
    -> const Service* {
  const auto it = std::find_if(
      services.begin(), services.end(),
      [&name](const Service& service) { return service.name == name; });
  return it == services.end() ? nullptr : &*it;
}

auto CheckConsent(const Configuration& configuration,
                  const Sheet& sheet,
                  const SheetConsent& consent) -> void {
  std::string refusals;
  for (const auto& before : configuration.services) {
    const Service* const after = FindIn(sheet.services, before.name);
    CheckDrop(before, after, consent, refusals);
    if (after != nullptr) {
      CheckShrink(before, *after, consent, refusals);
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
  CheckConsent(configuration, sheet, consent);
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
