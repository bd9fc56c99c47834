#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_

#include <string>
#include <vector>

/// @file
/// The commands of hawthornctl, each defined in a file of its own. A command
/// takes the words of its command line, the first of which names the command,
/// and returns the exit code. It throws Error for wrong input, or when a failed
/// request to the platform or a balancer prevents any result.
namespace hawthornbank::hawthornctl {

/// Words of a command line: the command's name and its arguments.
using Words = std::vector<std::string>;

auto RunSheetCheck(const Words& words) -> int;
auto RunSheetDiff(const Words& words) -> int;
auto RunSheetImport(const Words& words) -> int;
auto RunServiceList(const Words& words) -> int;
auto RunServiceShow(const Words& words) -> int;
auto RunServiceSet(const Words& words) -> int;
auto RunTargetList(const Words& words) -> int;
auto RunTargetDrain(const Words& words) -> int;
auto RunTargetUndrain(const Words& words) -> int;
auto RunBalancerList(const Words& words) -> int;
auto RunBalancerStop(const Words& words) -> int;
auto RunBalancerResume(const Words& words) -> int;
auto RunPlanShow(const Words& words) -> int;
auto RunStatus(const Words& words) -> int;
auto RunWatch(const Words& words) -> int;
auto RunMetrics(const Words& words) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
