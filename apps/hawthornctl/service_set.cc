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

auto Join(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

/// Refuses a field that is given twice, so that none is dropped unseen.
auto CheckFields(const std::vector<std::string>& assignments) -> void {
  std::set<std::string> seen;
  for (const auto& it : assignments) {
    const std::string field = it.substr(0, it.find('='));
    if (!seen.insert(field).second) {
      throw Error(ErrorKind::kInvalidSettings,
                  "field '" + field + "' is given twice");
    }
  }
}

/// Applies one FIELD=VALUE to a service.
/// @throws Error kInvalidSettings for an unknown field or a wrong value.
auto SetField(Service& service, const std::string& assignment) -> void {
  const auto mark = assignment.find('=');
  const std::string field = assignment.substr(0, mark);
  const auto known = ListServiceColumns();
  if (mark == std::string::npos) {
    throw Error(ErrorKind::kInvalidSettings,
                "'" + assignment + "' is not FIELD=VALUE");
  }
  if (std::find(known.begin(), known.end(), field) == known.end()) {
    throw Error(ErrorKind::kInvalidSettings,
                "unknown field '" + field + "'" + Suggestion(field, known) +
                    "\nThe fields: " + Join(known));
  }
  SetServiceColumn(service, field, assignment.substr(mark + 1));
}

/// The sheet that stands for a configuration with one service replaced.
auto SheetWith(const Configuration& configuration, const Service& service)
    -> Sheet {
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

/// Refuses an address that another service has.
auto CheckAddress(const Configuration& configuration, const Service& service)
    -> void {
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

auto RunServiceSet(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Changes fields of a service, named as the sheet's columns.", ' ',
      transport::Version());
  CommonArguments common(command);
  ChangeArguments change(command);
  TCLAP::MultiArg<std::string> drop("", "allow-drop",
                                    "The service, if it may be moved", false,
                                    "SERVICE", command);
  TCLAP::MultiArg<std::string> shrink("", "allow-shrink",
                                      "The service, if it may be halved", false,
                                      "SERVICE", command);
  TCLAP::UnlabeledValueArg<std::string> name("service", "Its name", true, "",
                                             "SERVICE", command);
  TCLAP::UnlabeledMultiArg<std::string> fields("fields", "As targets=8", true,
                                               "FIELD=VALUE", command);
  Parse(command, words);
  const SheetConsent consent{.drop = drop.getValue(),
                             .shrink = shrink.getValue()};
  CheckFields(fields.getValue());
  return MakeChange(common, change, [&](const Configuration& before) {
    RequireServices(before, consent.drop);
    RequireServices(before, consent.shrink);
    Service service = RequireService(before, name.getValue());
    for (const auto& it : fields.getValue()) {
      SetField(service, it);
    }
    CheckAddress(before, service);
    return ApplySheet(before, SheetWith(before, service), consent);
  });
}

}  // namespace hawthornbank::hawthornctl
