#include <csignal>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "arguments.h"
#include "hawthornbank/error.h"
#include "transport/version.h"
#include "watch_events.h"

namespace hawthornbank::hawthornctl {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kWatchInterval{1000};
constexpr std::chrono::milliseconds kSleepStep{50};

volatile std::sig_atomic_t interrupted = 0;

/// @return Current date and time in UTC, such as "2026-12-24T07:30:00Z".
auto FormatCurrentTime() -> std::string {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

auto PrintEvents(const std::vector<WatchEvent>& events, bool json) -> void {
  const std::string time = FormatCurrentTime();
  for (const auto& it : events) {
    std::cout << (json ? FormatEventAsJson(it, time)
                       : time + "  " + FormatEventAsText(it))
              << '\n';
  }
  std::cout.flush();
}

auto SleepUntilTimeOrSignal(SteadyClock::time_point end) -> void {
  while (interrupted == 0 && SteadyClock::now() < end) {
    std::this_thread::sleep_for(kSleepStep);
  }
}

/// Fetches a status snapshot every kWatchInterval and prints the changes, until
/// `end` or until SIGINT or SIGTERM arrives.
/// @return Whether a balancer answered at least once.
auto WatchAndPrintChangesUntilEnd(const std::vector<Endpoint>& processes,
                                  SteadyClock::time_point end,
                                  bool json) -> bool {
  bool has_ever_answered = false;
  WatchSnapshot last;
  while (interrupted == 0) {
    const auto now = SteadyClock::now();
    auto next = MakeWatchSnapshot(FetchStatusPages(processes), now);
    PrintEvents(CompleteSnapshotAndListChanges(last, next), json);
    has_ever_answered = has_ever_answered || next.balancer_answered;
    last = std::move(next);
    if (now >= end) {
      break;
    }
    SleepUntilTimeOrSignal(std::min(now + kWatchInterval, end));
  }
  return has_ever_answered;
}

}  // namespace

auto RunWatchCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Prints a line for each change: where the configuration is in force and "
      "which hosts lag, states of targets and balancers, rates of refusals by "
      "reason.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  AgentArguments agents(command);
  TCLAP::ValueArg<unsigned> limit("", "for",
                                  "Time to watch; default: until interrupted",
                                  false, 0, "SECONDS", command);
  ParseArguments(command, words);
  auto processes = ReadBalancerAddresses(common);
  const auto agent_addresses = ReadAgentAddresses(agents);
  processes.insert(processes.end(), agent_addresses.begin(),
                   agent_addresses.end());
  const auto end = limit.isSet() ? SteadyClock::now() +
                                       std::chrono::seconds{limit.getValue()}
                                 : SteadyClock::time_point::max();
  for (const int signal : {SIGINT, SIGTERM}) {
    std::signal(signal, [](int) { interrupted = 1; });
  }
  return WatchAndPrintChangesUntilEnd(processes, end, common.json.getValue())
             ? 0
             : LookUpErrorAnswer(ErrorKind::kFailed).exit_code;
}

}  // namespace hawthornbank::hawthornctl
