#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_

#include <string>
#include <vector>

/// @file
/// The commands of hawthornctl, each defined in a file of its own. A command
/// takes the words of its command line, the first of which names the command,
/// and returns the exit code. A command throws Error for wrong input, or when a
/// failed request to the platform or a balancer prevents any result.
namespace hawthornbank::hawthornctl {

/// Words of a command line: the command's name and its arguments.
using Words = std::vector<std::string>;

auto RunSheetCheckCommand(const Words& words) -> int;
auto RunSheetDiffCommand(const Words& words) -> int;
auto RunSheetImportCommand(const Words& words) -> int;
auto RunServiceListCommand(const Words& words) -> int;
auto RunServiceShowCommand(const Words& words) -> int;
auto RunServiceSetCommand(const Words& words) -> int;
auto RunTargetListCommand(const Words& words) -> int;
auto RunTargetDrainCommand(const Words& words) -> int;
auto RunTargetUndrainCommand(const Words& words) -> int;
auto RunBalancerListCommand(const Words& words) -> int;
auto RunBalancerStopCommand(const Words& words) -> int;
auto RunBalancerResumeCommand(const Words& words) -> int;
auto RunPlanShowCommand(const Words& words) -> int;
auto RunStatusCommand(const Words& words) -> int;
auto RunWatchCommand(const Words& words) -> int;
auto RunMetricsCommand(const Words& words) -> int;
auto RunExplainCommand(const Words& words) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
