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

/// @return The time of day (UTC), as "2026-12-24T07:30:00Z".
auto TimeText() -> std::string {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

auto Print(const std::vector<WatchEvent>& events, bool json) -> void {
  const std::string time = TimeText();
  for (const auto& it : events) {
    std::cout << (json ? ToJson(it, time) : time + "  " + ToText(it)) << '\n';
  }
  std::cout.flush();
}

auto SleepUntil(SteadyClock::time_point end) -> void {
  while (interrupted == 0 && SteadyClock::now() < end) {
    std::this_thread::sleep_for(kSleepStep);
  }
}

/// Looks until it is interrupted or the time is over.
/// @return Whether a balancer ever answered.
auto Watch(const std::vector<Endpoint>& processes,
           SteadyClock::time_point end,
           bool json) -> bool {
  bool ever_answered = false;
  WatchSnapshot last;
  while (interrupted == 0) {
    const auto now = SteadyClock::now();
    auto next = MakeSnapshot(FetchPages(processes), now);
    Print(CompareSnapshots(last, next), json);
    ever_answered = ever_answered || next.answered;
    last = std::move(next);
    if (now >= end) {
      break;
    }
    SleepUntil(std::min(now + kWatchInterval, end));
  }
  return ever_answered;
}

}  // namespace

auto RunWatch(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Prints a line for each change: what is in force where and who lags, "
      "states of targets and balancers, refusals by reason as rates.",
      ' ', transport::Version());
  CommonArguments common(command);
  AgentArguments agents(command);
  TCLAP::ValueArg<unsigned> limit("", "for",
                                  "How long; else until it is interrupted",
                                  false, 0, "SECONDS", command);
  Parse(command, words);
  auto processes = BalancerAddresses(common);
  const auto more = AgentAddresses(agents);
  processes.insert(processes.end(), more.begin(), more.end());
  const auto end = limit.isSet() ? SteadyClock::now() +
                                       std::chrono::seconds{limit.getValue()}
                                 : SteadyClock::time_point::max();
  for (const int signal : {SIGINT, SIGTERM}) {
    std::signal(signal, [](int) { interrupted = 1; });
  }
  return Watch(processes, end, common.json.getValue())
             ? 0
             : AnswerFor(ErrorKind::kFailed).exit_code;
}

}  // namespace hawthornbank::hawthornctl
