#include "names.h"

#include <algorithm>

#include "hawthornbank/error.h"
#include "protocol/near_match.h"

namespace hawthornbank::hawthornctl {
namespace {

auto ContainsName(const std::vector<std::string>& list, const std::string& name)
    -> bool {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

auto FindRequiredService(const Configuration& configuration,
                         const std::string& name) -> const Service& {
  const Service* const service = FindService(configuration, name);
  if (service == nullptr) {
    RequireKnownServices(configuration, {name});
  }
  return *service;
}

auto RequireKnownServices(const Configuration& configuration,
                          const std::vector<std::string>& names) -> void {
  std::vector<std::string> known;
  known.reserve(configuration.services.size());
  for (const auto& it : configuration.services) {
    known.push_back(it.name);
  }
  RequireKnownNames("service", names, known);
}

auto RequireKnownNames(const std::string& kind,
                       const std::vector<std::string>& names,
                       const std::vector<std::string>& known) -> void {
  std::string faults;
  for (const auto& it : names) {
    if (!ContainsName(known, it)) {
      faults += faults.empty() ? "" : "\n";
      faults += "there is no " + kind;
      faults += " '" + it + "'" + FormatSuggestion(it, known);
    }
  }
  if (!faults.empty()) {
    throw Error(ErrorKind::kUnknownService, faults);
  }
}

auto MergeNamesIntoSortedList(std::vector<std::string>& list,
                              const std::vector<std::string>& names) -> void {
  list.insert(list.end(), names.begin(), names.end());
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
}

auto RemoveNamesFromList(std::vector<std::string>& list,
                         const std::vector<std::string>& names) -> void {
  std::erase_if(list, [&names](const std::string& it) {
    return ContainsName(names, it);
  });
}

}  // namespace hawthornbank::hawthornctl
