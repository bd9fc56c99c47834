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
  double flood_share = 0;  ///< Share of all calls that the first caller makes.
  bool retry_without_budget = false;
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{1}};
  double copy_share = 0;   ///< Share of datagrams that the network duplicates.
  std::size_t copies = 1;  ///< Extra copies of each duplicated datagram.
  Duration copy_delay{0};  ///< Maximum delay of an extra copy.
  bool separate_answers = false;  ///< Targets answer in confirmable messages.
  double cancel_share = 0;        ///< Share of attempts that callers cancel.
  bool targets_ignore_cancel = false;
  /// Share of bookings also sent to a second target.
  double second_home_share = 0;
  std::chrono::seconds start{5};  ///< Start of the measured time.
  std::chrono::seconds end{25};   ///< End of the measured time.
  /// Schedules the run's faults; called before the run.
  std::function<void(VirtualNetwork&,
                     std::vector<std::unique_ptr<TargetHost>>&)>
      faults;
};

/// Figures measured in one run of a scenario.
struct RequestResult {
  std::uint64_t calls = 0;     ///< First attempts in the whole run.
  std::uint64_t attempts = 0;  ///< First attempts and retries in the whole run.
  /// Number of successful calls in the measured time.
  std::uint64_t succeeded = 0;
  std::uint64_t offered = 0;  ///< Number of calls made in the measured time.
  std::uint64_t doubled = 0;  ///< Number of bookings that ran more than once.
  /// Number of attempts that ran although the reply said that the request had
  /// not run.
  std::uint64_t falsely_not_run = 0;
  std::uint64_t answer_after_give_up = 0;
  /// Number of answers that were corrupt or belonged to another request.
  std::uint64_t wrong_answers = 0;
  /// Number of error answers that don't say whether the request ran.
  std::uint64_t unknown = 0;
  /// Number of attempts without an answer by the deadline.
  std::uint64_t unanswered = 0;
  /// Number of separate answers whose acknowledgement never arrived.
  std::uint64_t unacknowledged = 0;
  /// Maximum number of requests that ran at a target at once.
  std::size_t running_max = 0;
  /// Number of cancellations that stopped a request.
  std::uint64_t cancelled = 0;
  /// Number of cancellations that freed a slot at once.
  std::uint64_t slots_freed = 0;
  /// Served share of permit checks, and of other requests, from callers that
  /// don't flood.
  double others_permits_ratio = 0;
  double others_ordinary_ratio = 0;
  /// Successful calls over capacity; a booking counts as two calls.
  double weighted_goodput = 0;
  /// Share of calls whose first attempt was refused; a permit check counts as
  /// two calls.
  double shed_share = 0;
  double refusal_round_trips_p99 = 0;
  /// Share of refusals that took over one round trip.
  double late_refusals = 0;
  /// Maximum time until a refusal reached the caller, in round trips, for
  /// refusals sent at the instant the request arrived.
  double arrival_refusal_round_trips_p100 = 0;
  /// Number of refusals of requests that had been accepted, by reason.
  std::map<ErrorKind, std::uint64_t> late_refusals_by_kind;
  /// Minimum time left until the deadline when an accepted request was refused,
  /// in mean service times.
  double late_refusal_left_min = std::numeric_limits<double>::infinity();
  double goodput_ratio = 0;  ///< Successful calls over capacity.
  double capacity = 0;      ///< Requests per second that all targets can serve.
  double served_ratio = 0;  ///< Successful calls over offered calls.
  /// Every start of a request at a target, in order of time.
  std::vector<Run> runs;
  /// Number of successful calls in each second of the run.
  std::vector<std::uint64_t> succeeded_by_second;
  /// Successful calls over offered calls in each second of the run.
  std::vector<double> served_by_second;
};

/// Runs a scenario to its end in virtual time.
/// @param scenario Load, network and faults.
/// @return Figures of the run.
auto RunRequestScenario(const RequestScenario& scenario) -> RequestResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_SCENARIO_H_
