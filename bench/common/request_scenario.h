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
  double load = 0.7;  ///< Offered requests per second over capacity.
  std::chrono::milliseconds service_time{50};
  std::chrono::milliseconds deadline{2000};
  double booking_share = 0.7;  ///< Share of non-idempotent requests.
  bool permits = false;        ///< Bookings are sent as permit checks.
  /// Whether the gate serves two permit checks for each ordinary request.
  bool prefer_permits = true;
  double flood_share = 0;  ///< Share of calls from the first caller.
  bool retry_without_budget = false;
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{1}};
  double copy_share = 0;          ///< Share of datagrams that are copied.
  std::size_t copies = 1;         ///< Copies of each copied datagram.
  Duration copy_delay{0};         ///< Maximum delay of a copy.
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
  /// Number of successful calls in the measured time.
  std::uint64_t succeeded = 0;
  std::uint64_t offered = 0;  ///< Number of calls made in the measured time.
  std::uint64_t doubled = 0;  ///< Number of bookings that ran more than once.
  /// Number of attempts that ran although the reply said that they had not.
  std::uint64_t falsely_not_run = 0;
  std::uint64_t answer_after_give_up = 0;
  /// Number of answers that were corrupt or belonged to another request.
  std::uint64_t wrong_answers = 0;
  /// Number of answers that leave open whether the request ran.
  std::uint64_t unknown = 0;
  /// Number of attempts without an answer by the deadline.
  std::uint64_t unanswered = 0;
  /// Number of separate answers never acknowledged.
  std::uint64_t unacknowledged = 0;
  /// Maximum number of requests that ran at a target at once.
  std::size_t running_max = 0;
  /// Number of cancellations that stopped a request.
  std::uint64_t cancelled = 0;
  /// Number of cancellations that freed a slot at once.
  std::uint64_t slots_freed = 0;
  /// Served shares of the permit checks and of the other requests, both from
  /// callers that don't flood.
  double others_permits_ratio = 0;
  double others_ordinary_ratio = 0;
  /// Successes over capacity; bookings count as two.
  double weighted_goodput = 0;
  /// Refused share of calls; permit checks count as two.
  double shed_share = 0;
  double refusal_round_trips_p99 = 0;
  /// Share of refusals that took over one round trip.
  double late_refusals = 0;
  /// Maximum time to a refusal that was sent at the instant the request
  /// arrived, in round trips.
  double arrival_refusal_round_trips_p100 = 0;
  /// Number of refusals of requests that had been accepted, by reason.
  std::map<ErrorKind, std::uint64_t> late_refusals_by_kind;
  /// Minimum time left until the deadline when an accepted request was refused,
  /// in mean service times.
  double late_refusal_left_min = std::numeric_limits<double>::infinity();
  double goodput_ratio = 0;  ///< Successful calls over capacity.
  double capacity = 0;      ///< Requests per second that all targets can serve.
  double served_ratio = 0;  ///< Successful calls over offered calls.
  std::vector<Run> runs;    ///< Every request start at a target, in order.
  /// Number of successful calls in each second of the run.
  std::vector<std::uint64_t> succeeded_by_second;
  /// Successful calls over offered calls in each second of the run.
  std::vector<double> served_by_second;
};

/// Runs a scenario to its end.
/// @param scenario Load, network and faults.
/// @return Figures of the run.
auto RunScenario(const RequestScenario& scenario) -> RequestResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_
