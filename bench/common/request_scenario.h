#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "common/request_target.h"
#include "common/virtual_network.h"
#include "hawthornbank/error.h"

/// @file
/// Callers that send requests to several targets in virtual time.
namespace hawthornbank::bench {

/// What the callers do and what the network does to them.
struct RequestScenario {
  std::uint64_t seed = 1;
  GateKind gate = GateKind::kReal;
  std::size_t targets = 7;
  std::size_t callers = 60;
  double load = 0.7;  ///< Offered requests over capacity.
  std::chrono::milliseconds service_time{50};
  std::chrono::milliseconds deadline{2000};
  double booking_share = 0.7;  ///< Non-idempotent requests.
  bool permits = false;        ///< Bookings are permit checks.
  bool weigh_permits = true;   ///< Whether they count double at the gate.
  double flood_share = 0;      ///< Calls made by the first caller alone.
  bool retry_without_budget = false;
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{1}};
  double copy_share = 0;          ///< Datagrams that arrive again.
  std::size_t copies = 1;         ///< How often those arrive again.
  Duration copy_delay{0};         ///< Latest arrival of a copy.
  bool separate_answers = false;  ///< Targets answer by confirmable messages.
  double cancel_share = 0;        ///< Tries that their caller cancels.
  bool targets_ignore_cancel = false;
  double second_home_share = 0;   ///< Bookings opened at two targets.
  std::chrono::seconds start{5};  ///< Begin of the measured time.
  std::chrono::seconds end{25};   ///< End of the measured time.
  /// Plans faults before the run.
  std::function<void(VirtualNetwork&,
                     std::vector<std::unique_ptr<TargetHost>>&)>
      faults;
};

/// What was seen.
struct RequestResult {
  std::uint64_t calls = 0;      ///< First tries, whole run.
  std::uint64_t attempts = 0;   ///< First tries and retries, whole run.
  std::uint64_t succeeded = 0;  ///< In the measured time.
  std::uint64_t offered = 0;    ///< In the measured time.
  std::uint64_t doubled = 0;    ///< Bookings that ran more than once.
  std::uint64_t falsely_not_run = 0;
  std::uint64_t answer_after_give_up = 0;
  std::uint64_t wrong_answers = 0;   ///< Torn, or another request's.
  std::uint64_t unknown = 0;         ///< Calls that ended in "unknown".
  std::uint64_t unanswered = 0;      ///< Calls that nobody answered in time.
  std::uint64_t unacknowledged = 0;  ///< Separate answers never acknowledged.
  std::size_t running_max = 0;       ///< Most that ran at one target at once.
  std::uint64_t cancelled = 0;       ///< Cancellations that stopped work.
  std::uint64_t slots_freed = 0;     ///< Those that freed the slot at once.
  /// Served of what callers other than a flooding one offered.
  double others_permits_ratio = 0;
  double others_ordinary_ratio = 0;
  double weighted_goodput = 0;  ///< Worth of successes over that of capacity.
  double shed_share = 0;        ///< Calls refused; permits count double.
  double refusal_round_trips_p99 = 0;
  double late_refusals = 0;  ///< Share of refusals over one round trip.
  /// Slowest refusal that was sent at the instant the request arrived.
  double arrival_refusal_round_trips_p100 = 0;
  /// Refusals of requests that had been taken in, by reason.
  std::map<ErrorKind, std::uint64_t> late_refusals_by_kind;
  /// Least time that such a refusal left, in mean service times.
  double late_refusal_left_min = std::numeric_limits<double>::infinity();
  double goodput_ratio = 0;  ///< Successes over capacity.
  double capacity = 0;       ///< Requests a second of all targets.
  double served_ratio = 0;   ///< Successes over offered requests.
  std::vector<Run> runs;     ///< Every start at a target, in order.
  /// Answers in each second of the run.
  std::vector<std::uint64_t> succeeded_by_second;
  /// Successes over offered requests in each second of the run.
  std::vector<double> served_by_second;
};

/// Runs a scenario to its end.
/// @param scenario What happens.
/// @return What was seen.
auto RunScenario(const RequestScenario& scenario) -> RequestResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_
