#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_

#include <string>
#include <vector>

#include "arguments.h"
#include "protocol/status_json.h"

/// @file
/// Checks that targets and balancers named by an operator exist. Only the
/// balancers know these names.
namespace hawthornbank::hawthornctl {

/// Option --unchecked, which skips the check that given names exist.
struct UncheckedArgument {
  /// @param command Command line that the argument is added to.
  explicit UncheckedArgument(TCLAP::CmdLine& command);

  TCLAP::SwitchArg unchecked;
};

/// Lists the names of all objects of one kind in a balancer's status.
using NameLister = auto(*)(const ProcessStatus& status)
                       -> std::vector<std::string>;

/// Checks that a balancer knows the names. With --unchecked, prints a warning
/// for each name instead.
/// @param kind Kind of the named objects, such as "target".
/// @param names Names that the operator gave.
/// @param list_names Lists the names that exist in a balancer's status.
/// @param common Addresses of the balancers.
/// @param unchecked The option that skips the check.
/// @throws Error kUnknownService listing each unknown name, kFailed when no
///         balancer answers, kInvalidSettings when no balancer is given or,
///         with --unchecked, when a name is malformed.
auto CheckNamesWithBalancers(const std::string& kind,
                             const std::vector<std::string>& names,
                             NameLister list_names,
                             const CommonArguments& common,
                             const UncheckedArgument& unchecked) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
