#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_

#include <chrono>
#include <string>
#include <vector>

#include "protocol/sheet.h"

/// @file
/// Rates through a day, from a planners' sheet, compressed into a run.
namespace hawthornbank::load {

/// A rate from a time of day on.
struct DemandPoint {
  std::chrono::minutes start{0};  ///< Since midnight.
  double per_second = 0;
};

/// Rates of one service through a day, in the order of time.
using DayDemand = std::vector<DemandPoint>;

/// Picks a service's demand on a day.
/// @param sheet The planners' sheet.
/// @param service Name of the service.
/// @param day A date; a day that the sheet doesn't name is like "daily".
/// @return The rates; empty when the sheet doesn't know the service.
auto DemandOfDay(const Sheet& sheet,
                 const std::string& service,
                 const std::string& day) -> DayDemand;

/// Reads the rate at a time of day. Before the first point the last one of the
/// evening holds.
/// @param demand Rates of a day.
/// @param time Time since midnight.
/// @return Requests a second.
auto RateAt(const DayDemand& demand, std::chrono::minutes time) -> double;

/// Maps the time since the start of a run to a time of day.
/// @param elapsed Time since the start.
/// @param duration Length of the run, which stands for 24 hours.
/// @return Time since midnight.
auto TimeOfDay(std::chrono::milliseconds elapsed,
               std::chrono::milliseconds duration) -> std::chrono::minutes;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_SCHEDULE_H_
