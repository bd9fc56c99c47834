#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_

#include <string>

#include "arguments.h"
#include "transport/configuration_change.h"

/// @file
/// Functions shared by all commands that change the configuration.
namespace hawthornbank::hawthornctl {

/// Writes a change to the platform, or only shows it in a dry run, and prints
/// the outcome of the change.
/// @param common Addresses of the platform and the balancers.
/// @param arguments Options of the change.
/// @param edit Computes the requested configuration from the accepted one;
/// throws
///     Error to refuse the change.
/// @return The exit code.
/// @throws Error when an error prevented the change; nothing was written.
auto ApplyConfigurationChange(const CommonArguments& common,
                              const ChangeArguments& arguments,
                              const transport::ConfigurationEdit& edit) -> int;

/// Prints the differences between two configurations.
/// @param before The older configuration.
/// @param after The newer configuration.
/// @param json Whether to print the differences as a JSON array.
auto PrintConfigurationDiff(const Configuration& before,
                            const Configuration& after,
                            bool json) -> void;

/// Reads the accepted configuration from the platform.
/// @param common Address of the platform and name of the region.
/// @return The configuration; empty when none was accepted yet.
/// @throws Error kPlatformUnavailable when the platform does not answer.
auto ReadAcceptedConfiguration(const CommonArguments& common) -> Configuration;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_CHANGE_H_
