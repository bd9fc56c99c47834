#include <algorithm>
#include <set>

#include "arguments.h"
#include "change.h"
#include "hawthornbank/error.h"
#include "names.h"
#include "protocol/near_match.h"
#include "protocol/sheet.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

auto JoinNamesWithCommas(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

/// Rejects a field that is given twice, so that no value is silently ignored.
auto RejectRepeatedFields(const std::vector<std::string>& assignments) -> void {
  std::set<std::string> seen;
  for (const auto& it : assignments) {
    const std::string field = it.substr(0, it.find('='));
    if (!seen.insert(field).second) {
      throw Error(ErrorKind::kInvalidSettings,
                  "field '" + field + "' is given twice");
    }
  }
}

/// Sets a field of a service from an assignment FIELD=VALUE.
/// @throws Error kInvalidSettings for an unknown field or a wrong value.
auto SetServiceField(Service& service, const std::string& assignment) -> void {
  const auto separator = assignment.find('=');
  const std::string field = assignment.substr(0, separator);
  const auto known = ListServiceColumns();
  if (separator == std::string::npos) {
    throw Error(ErrorKind::kInvalidSettings,
                "'" + assignment + "' is not FIELD=VALUE");
  }
  if (std::find(known.begin(), known.end(), field) == known.end()) {
    throw Error(ErrorKind::kInvalidSettings,
                "unknown field '" + field + "'" +
                    FormatSuggestion(field, known) +
                    "\nThe fields: " + JoinNamesWithCommas(known));
  }
  SetServiceFieldFromCell(service, field, assignment.substr(separator + 1));
}

/// Converts a configuration to a sheet in which one service is replaced.
auto BuildSheetWithService(const Configuration& configuration,
                           const Service& service) -> Sheet {
  Sheet sheet{.services = configuration.services};
  for (auto& it : sheet.services) {
    const std::string name = it.name;
    it = name == service.name ? service : it;
    for (const auto& row : configuration.demand) {
      if (row.service == it.id) {
        sheet.demand.push_back(SheetDemand{.service = name, .row = row});
      }
    }
  }
  return sheet;
}

/// Rejects an address and transport that another service already uses.
auto RejectAddressInUse(const Configuration& configuration,
                        const Service& service) -> void {
  for (const auto& it : configuration.services) {
    if (it.id != service.id && it.address == service.address &&
        it.transport == service.transport) {
      throw Error(ErrorKind::kInvalidSettings,
                  ToString(service.address) +
                      " is also the address of service '" + it.name + "'");
    }
  }
}

}  // namespace

auto RunServiceSetCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Changes fields of a service; they are named like the sheet's columns.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::MultiArg<std::string> drop(
      "", "allow-drop",
      "Name of the service, to confirm a new address or "
      "transport",
      false, "SERVICE", command);
  TCLAP::MultiArg<std::string> shrink(
      "", "allow-shrink",
      "Name of the service, to confirm halving its slots "
      "or connections",
      false, "SERVICE", command);
  TCLAP::UnlabeledValueArg<std::string> name("service", "Name of the service",
                                             true, "", "SERVICE", command);
  TCLAP::UnlabeledMultiArg<std::string> fields(
      "fields", "Fields to set, such as targets=8", true, "FIELD=VALUE",
      command);
  ParseArguments(command, words);
  const SheetConsent consent{.droppable_services = drop.getValue(),
                             .shrinkable_services = shrink.getValue()};
  RejectRepeatedFields(fields.getValue());
  return ApplyConfigurationChange(
      common, change, [&](const Configuration& before) {
        RequireKnownServices(before, consent.droppable_services);
        RequireKnownServices(before, consent.shrinkable_services);
        Service service = FindRequiredService(before, name.getValue());
        for (const auto& it : fields.getValue()) {
          SetServiceField(service, it);
        }
        RejectAddressInUse(before, service);
        return ApplySheet(before, BuildSheetWithService(before, service),
                          consent);
      });
}

}  // namespace hawthornbank::hawthornctl
