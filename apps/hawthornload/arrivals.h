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
/// Start times of the next request and upload of each service.
namespace hawthornbank::load {

/// Arrival process of the requests to one service, or of the uploads to it.
struct ArrivalStream {
  const ServiceUnderLoad* service = nullptr;
  bool is_upload = false;      ///< The stream starts uploads, not requests.
  DayDemand demand;            ///< One point when the rate is constant.
  double peak_per_second = 0;  ///< Maximum rate in `demand`.
  Clock::time_point next_candidate;  ///< Time of the next candidate arrival.
};

/// State of the arrival processes of a run.
struct Arrivals {
  Random random;
  Clock::time_point start;
  std::vector<ArrivalStream> streams;
  std::vector<const ServiceUnderLoad*> request_services;
  /// Next send time of the steady callers.
  Clock::time_point next_steady_round;
  std::uint64_t issued_ids = 0;  ///< Request IDs handed out so far.
};

/// Creates an arrival stream for each service and kind of call that the
/// options give a rate.
/// @param options Settings of the run; outlives the result.
/// @param start Start of the run.
/// @return The arrivals.
/// @throws Error kInvalidSettings when the sheet can't be read or parsed, or
/// has no demand for one of the services.
auto StartArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals;

/// Lists the calls that are due at the current time and schedules the next
/// calls. Each stream is a Poisson process whose rate follows the time of day.
/// @param arrivals The arrivals.
/// @param options Settings of the run.
/// @param now Current time.
/// @return The stream of each call, once per call.
auto TakeDueArrivals(Arrivals& arrivals,
                     const LoadOptions& options,
                     Clock::time_point now)
    -> std::vector<const ArrivalStream*>;

/// Starts every call that is due, including those of the steady callers.
/// @param arrivals The arrivals.
/// @param requests The started calls are added to it.
/// @param context Client context.
/// @param options Settings of the run.
/// @param now Current time.
auto StartDueCalls(Arrivals& arrivals,
                   Requests& requests,
                   coap_context_t* context,
                   const LoadOptions& options,
                   Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_ARRIVALS_H_
