#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_

#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// Names that operators give, checked against those that exist.
namespace hawthornbank::hawthornctl {

/// Finds a service.
/// @param configuration Where to look.
/// @param name Its name.
/// @return The service.
/// @throws Error kUnknownService naming the near match.
auto RequireService(const Configuration& configuration, const std::string& name)
    -> const Service&;

/// Checks that all services exist.
/// @param configuration Where to look.
/// @param names Their names.
/// @throws Error kUnknownService listing each unknown name and near match.
auto RequireServices(const Configuration& configuration,
                     const std::vector<std::string>& names) -> void;

/// Checks that all names exist.
/// @param what What they name, as "target".
/// @param names What the operator gave.
/// @param known The names that exist.
/// @throws Error kUnknownService listing each unknown name and near match.
auto RequireNames(const std::string& what,
                  const std::vector<std::string>& names,
                  const std::vector<std::string>& known) -> void;

/// Adds names to a list that has each once.
/// @param list The list, kept sorted.
/// @param names What to add.
auto AddNames(std::vector<std::string>& list,
              const std::vector<std::string>& names) -> void;

/// Removes names from a list.
/// @param list The list.
/// @param names What to remove.
auto RemoveNames(std::vector<std::string>& list,
                 const std::vector<std::string>& names) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_
