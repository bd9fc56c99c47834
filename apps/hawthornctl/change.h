#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_

#include <string>

#include "arguments.h"
#include "transport/configuration_change.h"

/// @file
/// The part that all commands share that change the configuration.
namespace hawthornbank::hawthornctl {

/// Makes a change, or shows it in a dry run, and reports how it ended.
/// @param common Where the platform and the balancers are.
/// @param arguments How to make it.
/// @param edit Makes the wanted configuration; throws Error to refuse.
/// @return The exit code.
/// @throws Error when nothing was changed because of an error.
auto MakeChange(const CommonArguments& common,
                const ChangeArguments& arguments,
                const transport::Edit& edit) -> int;

/// Prints the differences of two configurations.
/// @param before The older one.
/// @param after The newer one.
/// @param json Whether to print them as a JSON array.
auto PrintDiff(const Configuration& before,
               const Configuration& after,
               bool json) -> void;

/// Reads the accepted configuration.
/// @param common Where the platform is.
/// @return The configuration; empty when there is none yet.
/// @throws Error kPlatformUnavailable when the platform does not answer.
auto ReadAccepted(const CommonArguments& common) -> Configuration;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
