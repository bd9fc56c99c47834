#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_

#include <string>
#include <vector>

/// @file
/// The commands of hawthornctl, one a file. Each takes the words of its
/// command line, the first of which names the command, and returns the exit
/// code. Each throws Error for what it refuses.
namespace hawthornbank::hawthornctl {

/// Words of a command line.
using Words = std::vector<std::string>;

auto RunSheetCheck(Words words) -> int;
auto RunSheetDiff(Words words) -> int;
auto RunSheetImport(Words words) -> int;
auto RunServiceList(Words words) -> int;
auto RunServiceShow(Words words) -> int;
auto RunServiceSet(Words words) -> int;
auto RunTargetList(Words words) -> int;
auto RunTargetDrain(Words words) -> int;
auto RunTargetUndrain(Words words) -> int;
auto RunBalancerList(Words words) -> int;
auto RunBalancerStop(Words words) -> int;
auto RunBalancerResume(Words words) -> int;
auto RunPlanShow(Words words) -> int;
auto RunStatus(Words words) -> int;
auto RunWatch(Words words) -> int;
auto RunMetrics(Words words) -> int;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_COMMANDS_H_
