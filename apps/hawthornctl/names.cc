#include "names.h"

#include <algorithm>

#include "hawthornbank/error.h"
#include "protocol/near_match.h"

namespace hawthornbank::hawthornctl {
namespace {

auto Contains(const std::vector<std::string>& list, const std::string& name)
    -> bool {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

auto RequireService(const Configuration& configuration, const std::string& name)
    -> const Service& {
  const Service* const service = FindService(configuration, name);
  if (service == nullptr) {
    RequireServices(configuration, {name});
  }
  return *service;
}

auto RequireServices(const Configuration& configuration,
                     const std::vector<std::string>& names) -> void {
  std::vector<std::string> known;
  known.reserve(configuration.services.size());
  for (const auto& it : configuration.services) {
    known.push_back(it.name);
  }
  RequireNames("service", names, known);
}

auto RequireNames(const std::string& what,
                  const std::vector<std::string>& names,
                  const std::vector<std::string>& known) -> void {
  std::string faults;
  for (const auto& it : names) {
    if (!Contains(known, it)) {
      faults += faults.empty() ? "" : "\n";
      faults += "there is no " + what;
      faults += " '" + it + "'" + Suggestion(it, known);
    }
  }
  if (!faults.empty()) {
    throw Error(ErrorKind::kUnknownService, faults);
  }
}

auto AddNames(std::vector<std::string>& list,
              const std::vector<std::string>& names) -> void {
  list.insert(list.end(), names.begin(), names.end());
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
}

auto RemoveNames(std::vector<std::string>& list,
                 const std::vector<std::string>& names) -> void {
  std::erase_if(
      list, [&names](const std::string& it) { return Contains(names, it); });
}

}  // namespace hawthornbank::hawthornctl
