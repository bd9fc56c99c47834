#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_

#include <string>
#include <vector>

#include "arguments.h"
#include "protocol/status_json.h"

/// @file
/// Names of targets and balancers, which balancers alone know.
namespace hawthornbank::hawthornctl {

/// Option to go ahead with names that no balancer has confirmed.
struct UncheckedArgument {
  /// @param command The command line that takes the argument.
  explicit UncheckedArgument(TCLAP::CmdLine& command);

  TCLAP::SwitchArg unchecked;
};

/// How to find the names in what a balancer knows.
using NamesOf = auto(*)(const ProcessStatus& status)
                    -> std::vector<std::string>;

/// Checks names with the balancers, or says that they are not checked.
/// @param what What they name, as "target".
/// @param names What the operator gave.
/// @param names_of Finds the names that exist.
/// @param common Where the balancers are.
/// @param unchecked Whether to do without the check.
/// @throws Error kUnknownService listing each unknown name, kFailed when no
///         balancer answers, kInvalidSettings when none is given or a name is
///         none.
auto CheckNames(const std::string& what,
                const std::vector<std::string>& names,
                NamesOf names_of,
                const CommonArguments& common,
                const UncheckedArgument& unchecked) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_KNOWN_NAMES_H_
