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

/// Load, network and faults of a scenario.
struct RequestScenario {
  std::uint64_t seed = 1;
  GateKind gate = GateKind::kReal;
  std::size_t targets = 7;
  std::size_t callers = 60;
  double load = 0.7;  ///< Offered requests over capacity.
  std::chrono::milliseconds service_time{50};
  std::chrono::milliseconds deadline{2000};
  double booking_share = 0.7;  ///< Share of non-idempotent requests.
  bool permits = false;        ///< Bookings are permit checks.
  /// Whether permit checks count double at the gate.
  bool weigh_permits = true;
  double flood_share = 0;  ///< Share of calls from the first caller.
  bool retry_without_budget = false;
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{1}};
  double copy_share = 0;          ///< Share of datagrams that are copied.
  std::size_t copies = 1;         ///< Copies of each copied datagram.
  Duration copy_delay{0};         ///< Largest delay of a copy.
  bool separate_answers = false;  ///< Targets answer in confirmable messages.
  double cancel_share = 0;        ///< Share of attempts that callers cancel.
  bool targets_ignore_cancel = false;
  double second_home_share = 0;   ///< Share of bookings sent to two targets.
  std::chrono::seconds start{5};  ///< Start of the measured time.
  std::chrono::seconds end{25};   ///< End of the measured time.
  /// Schedules faults before the run.
  std::function<void(VirtualNetwork&,
                     std::vector<std::unique_ptr<TargetHost>>&)>
      faults;
};

/// Figures of a run.
struct RequestResult {
  std::uint64_t calls = 0;     ///< First attempts in the whole run.
  std::uint64_t attempts = 0;  ///< First attempts and retries in the whole run.
  std::uint64_t succeeded = 0;  ///< Successful calls in the measured time.
  std::uint64_t offered = 0;    ///< Calls made in the measured time.
  std::uint64_t doubled = 0;    ///< Bookings that ran more than once.
  /// Attempts that ran although the caller was told that they had not.
  std::uint64_t falsely_not_run = 0;
  std::uint64_t answer_after_give_up = 0;
  /// Corrupt answers, or those to another request.
  std::uint64_t wrong_answers = 0;
  /// Answers that leave open whether the request ran.
  std::uint64_t unknown = 0;
  /// Attempts without an answer by the deadline.
  std::uint64_t unanswered = 0;
  std::uint64_t unacknowledged = 0;  ///< Separate answers never acknowledged.
  std::size_t running_max = 0;  ///< Most requests that ran at a target at once.
  std::uint64_t cancelled = 0;  ///< Cancellations that stopped work.
  std::uint64_t slots_freed = 0;  ///< Cancellations that freed a slot at once.
  /// Served share of the requests of callers that don't flood: permit checks,
  /// and other requests.
  double others_permits_ratio = 0;
  double others_ordinary_ratio = 0;
  double weighted_goodput = 0;  ///< Weight of successes over that of capacity.
  double shed_share = 0;  ///< Share of calls refused; permits count double.
  double refusal_round_trips_p99 = 0;
  double late_refusals = 0;  ///< Share of refusals after over one round trip.
  /// Slowest refusal sent at the instant the request arrived, in round trips.
  double arrival_refusal_round_trips_p100 = 0;
  /// Refusals of requests that had been accepted, by reason.
  std::map<ErrorKind, std::uint64_t> late_refusals_by_kind;
  /// Least time to the deadline that a late refusal left, in mean service
  /// times.
  double late_refusal_left_min = std::numeric_limits<double>::infinity();
  double goodput_ratio = 0;  ///< Successes over capacity.
  double capacity = 0;      ///< Requests per second that all targets can serve.
  double served_ratio = 0;  ///< Successes over offered requests.
  std::vector<Run> runs;    ///< Every request start at a target, in order.
  /// Successful answers in each second of the run.
  std::vector<std::uint64_t> succeeded_by_second;
  /// Successes over offered requests in each second of the run.
  std::vector<double> served_by_second;
};

/// Runs a scenario to its end.
/// @param scenario Load, network and faults.
/// @return Figures of the run.
auto RunScenario(const RequestScenario& scenario) -> RequestResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_
