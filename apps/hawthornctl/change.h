#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_

#include <string>

#include "arguments.h"
#include "transport/configuration_change.h"

/// @file
/// Reads, changes and compares configurations for the commands of hawthornctl.
namespace hawthornbank::hawthornctl {

/// Writes a change to the platform and prints the outcome. In a dry run, only
/// prints the change. With --wait, waits until an accepted change is in force.
/// @param common Addresses of the platform and the balancers.
/// @param arguments Options of the change.
/// @param edit Computes the requested configuration from the accepted one, or
///     throws Error to refuse the change.
/// @return The exit code of the command.
/// @throws Error when an argument is invalid, the accepted configuration can't
///     be read or `edit` refuses the change. Nothing is written then.
auto ApplyConfigurationChange(const CommonArguments& common,
                              const ChangeArguments& arguments,
                              const transport::ConfigurationEdit& edit) -> int;

/// Prints the differences between two configurations.
/// @param before Configuration before the changes.
/// @param after Configuration after the changes.
/// @param json Whether to print the differences as a JSON array.
auto PrintConfigurationDiff(const Configuration& before,
                            const Configuration& after,
                            bool json) -> void;

/// Reads the accepted configuration from the platform.
/// @param common Address of the platform and name of the region.
/// @return The configuration; empty when none was accepted yet.
/// @throws Error kPlatformUnavailable when the platform does not answer,
///     kInvalidSettings when its address is missing or an argument is invalid.
auto ReadAcceptedConfiguration(const CommonArguments& common) -> Configuration;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
