#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_ARRIVALS_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_ARRIVALS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "hawthornbank/random.h"
#include "options.h"
#include "requests.h"
#include "schedule.h"

/// @file
/// Determines when the requests and uploads of a run start, and starts them.
namespace hawthornbank::load {

/// Arrival process of the requests or of the uploads of one service. Possible
/// arrivals are drawn at the peak rate; each is accepted and starts a call with
/// the probability current rate / peak rate (thinning of a Poisson process).
struct ArrivalStream {
  const ServiceUnderLoad* service = nullptr;
  bool is_upload = false;      ///< The stream starts uploads, not requests.
  DayDemand demand;            ///< One point if the rate is constant.
  double peak_per_second = 0;  ///< Maximum rate in `demand`.
  /// Time of the next possible arrival.
  Clock::time_point next_possible_arrival;
};

/// State of the arrival processes of a run.
struct Arrivals {
  Random random;
  Clock::time_point start;
  std::vector<ArrivalStream> streams;
  std::vector<const ServiceUnderLoad*> request_services;
  /// Time at which each steady caller sends its next request.
  Clock::time_point next_steady_round;
  std::uint64_t issued_ids = 0;  ///< Number of IDs given to calls.
};

/// Creates an arrival stream for the requests and for the uploads of each
/// service if the options or the sheet give a rate above 0 for them.
/// @param options Settings of the run; must outlive the result.
/// @param start Start of the run.
/// @return The arrivals.
/// @throws Error kInvalidSettings when the sheet can't be read or parsed, or
/// has no demand for one of the services.
auto CreateArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals;

/// Lists the calls that have become due and draws the times of the next
/// candidates. Each stream is a Poisson process whose rate follows the time of
/// day. The calls of the steady callers are not included.
/// @param arrivals State of the arrival processes.
/// @param options Settings of the run.
/// @param now Current time.
/// @return One entry for each due call: the stream of the call.
auto TakeDueArrivals(Arrivals& arrivals,
                     const LoadOptions& options,
                     Clock::time_point now)
    -> std::vector<const ArrivalStream*>;

/// Starts the requests and uploads that are due, including the requests of the
/// steady callers.
/// @param arrivals State of the arrival processes.
/// @param requests Receives the started calls.
/// @param context libcoap client context.
/// @param options Settings of the run.
/// @param now Current time.
auto StartDueCalls(Arrivals& arrivals,
                   Requests& requests,
                   coap_context_t* context,
                   const LoadOptions& options,
                   Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_ARRIVALS_H_
