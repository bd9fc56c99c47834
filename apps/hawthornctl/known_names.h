#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_

#include <string>
#include <vector>

#include "arguments.h"
#include "protocol/status_json.h"

/// @file
/// Checks names of targets and balancers, which only the balancers know.
namespace hawthornbank::hawthornctl {

/// Option to accept names that no balancer has confirmed.
struct UncheckedArgument {
  /// @param command Command line that the argument is added to.
  explicit UncheckedArgument(TCLAP::CmdLine& command);

  TCLAP::SwitchArg unchecked;
};

/// Lists the names of all objects of one kind in a balancer's status.
using NameLister = auto(*)(const ProcessStatus& status)
                       -> std::vector<std::string>;

/// Checks that a balancer knows the names, or warns that they are not checked.
/// @param kind Kind of the named objects, such as "target".
/// @param names Names that the operator gave.
/// @param list_names Lists the names that exist.
/// @param common Addresses of the balancers.
/// @param unchecked Whether to skip the check.
/// @throws Error kUnknownService listing each unknown name, kFailed when no
///         balancer answers, kInvalidSettings when no balancer is given or,
///         without the check, when a name is malformed.
auto CheckNamesWithBalancers(const std::string& kind,
                             const std::vector<std::string>& names,
                             NameLister list_names,
                             const CommonArguments& common,
                             const UncheckedArgument& unchecked) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
