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
/// When the next request or upload of each service starts.
namespace hawthornbank::load {

/// Calls of one kind to one service.
struct ArrivalStream {
  const ServiceUnderLoad* service = nullptr;
  bool upload = false;
  DayDemand demand;            ///< One point when the rate is constant.
  double peak_per_second = 0;  ///< Largest rate of the day.
  Clock::time_point next;      ///< Next candidate.
};

/// All calls of a run.
struct Arrivals {
  Random random;
  Clock::time_point start;
  std::vector<ArrivalStream> streams;
  std::vector<const ServiceUnderLoad*> request_services;
  Clock::time_point next_steady;  ///< When each steady caller sends again.
  std::uint64_t count = 0;
};

/// Makes the streams that the options ask for.
/// @param options Settings of the run; outlives the result.
/// @param start Start of the run.
/// @return The arrivals.
/// @throws Error kInvalidSettings when the sheet is faulty.
auto MakeArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals;

/// Lists the calls that start by now, as a Poisson process whose rate follows
/// the time of day.
/// @param arrivals The arrivals.
/// @param options Settings of the run.
/// @param now The present.
/// @return The stream of each call.
auto TakeDue(Arrivals& arrivals,
             const LoadOptions& options,
             Clock::time_point now) -> std::vector<const ArrivalStream*>;

/// Starts every call that is due.
/// @param arrivals The arrivals.
/// @param requests Where to keep the calls.
/// @param context Client context.
/// @param options Settings of the run.
/// @param now The present.
auto StartDue(Arrivals& arrivals,
              Requests& requests,
              coap_context_t* context,
              const LoadOptions& options,
              Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_ARRIVALS_H_
