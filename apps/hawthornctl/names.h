#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_

#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// Checks that the names given by operators exist, and edits lists of names.
namespace hawthornbank::hawthornctl {

/// Finds a service by its name; a missing service is an error.
/// @param configuration Configuration to search.
/// @param name Name of the service.
/// @return The service.
/// @throws Error kUnknownService naming the most similar service.
auto FindRequiredService(const Configuration& configuration,
                         const std::string& name) -> const Service&;

/// Checks that the configuration has a service for each name.
/// @param configuration Configuration to search.
/// @param names Names to look up.
/// @throws Error kUnknownService listing each unknown name with the most
///         similar name that exists.
auto RequireKnownServices(const Configuration& configuration,
                          const std::vector<std::string>& names) -> void;

/// Checks that each name given is among the names that exist.
/// @param kind Kind of the named objects, such as "target".
/// @param names Names that the operator gave.
/// @param known Names that exist.
/// @throws Error kUnknownService listing each unknown name with the most
///         similar name that exists.
auto RequireKnownNames(const std::string& kind,
                       const std::vector<std::string>& names,
                       const std::vector<std::string>& known) -> void;

/// Adds names to a list, sorts the list and removes duplicates.
/// @param list List to change.
/// @param names Names to add.
auto MergeNamesIntoSortedList(std::vector<std::string>& list,
                              const std::vector<std::string>& names) -> void;

/// Removes names from a list.
/// @param list List to change.
/// @param names Names to remove.
auto RemoveNamesFromList(std::vector<std::string>& list,
                         const std::vector<std::string>& names) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_NAMES_H_
