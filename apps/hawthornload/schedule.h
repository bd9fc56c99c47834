#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_

#include <chrono>
#include <string>
#include <vector>

#include "protocol/sheet.h"

/// @file
/// Request rates over a day, read from a planners' sheet and compressed into
/// the duration of a run.
namespace hawthornbank::load {

/// A request rate that applies from a time of day on.
struct DemandPoint {
  std::chrono::minutes start{0};  ///< Time since midnight.
  double per_second = 0;
};

/// Request rates of one service over a day, ordered by time.
using DayDemand = std::vector<DemandPoint>;

/// Selects a service's demand on a day.
/// @param sheet The planners' sheet.
/// @param service Name of the service.
/// @param day A date or "daily". If the service has no rows for the date, its
/// "daily" rows are used.
/// @return The rates; empty when the sheet has no such rows of the service.
auto SelectDayDemand(const Sheet& sheet,
                     const std::string& service,
                     const std::string& day) -> DayDemand;

/// Looks up the rate at a time of day. Before the first point, the rate of the
/// day's last point applies.
/// @param demand Rates of a day.
/// @param time Time since midnight.
/// @return Requests per second; 0 when `demand` is empty.
auto FindRateAtTimeOfDay(const DayDemand& demand, std::chrono::minutes time)
    -> double;

/// Maps the time since the start of a run to a time of day.
/// @param elapsed Time since the start of the run.
/// @param duration Length of the run, which is mapped to 24 hours.
/// @return Time since midnight.
auto MapRunTimeToTimeOfDay(std::chrono::milliseconds elapsed,
                           std::chrono::milliseconds duration)
    -> std::chrono::minutes;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_
