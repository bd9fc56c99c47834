#ifndef HAWTHORNBANK_PLAN_H_
#define HAWTHORNBANK_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// The daily plan: how many targets of a service should serve at a time of
/// day. All functions are pure: their inputs are the demand rows, the local
/// time and the current load. Times are wall-clock times of the place where the
/// plan was made: an hour that daylight saving time repeats is planned twice,
/// and rows in a skipped hour take effect right after the skipped hour.
namespace hawthornbank {

/// A date and a time of day, without a time zone.
struct LocalTime {
  std::chrono::year_month_day date;
  std::chrono::minutes time{0};  ///< Time since local midnight.
};

/// Settings for the number of targets planned for a demand.
struct PlanOptions {
  /// Targets start serving this long before demand rises.
  std::chrono::minutes warm_up{15};
  /// Targets keep serving this long after demand falls.
  std::chrono::minutes cool_down{15};
  /// Added to the expected demand and, by the plan executor, to the current
  /// load.
  std::uint32_t headroom_percent = 20;
  /// Minimum number of planned targets, unless the service has fewer targets.
  std::uint32_t minimum_targets = 2;
};

/// Current load of a service.
struct CurrentLoad {
  std::uint64_t connections = 0;
  std::uint64_t slots_busy = 0;
};

/// What determined the number of planned targets.
enum class PlanReason : std::uint8_t {
  kDemand,          ///< The expected demand.
  kCurrentLoad,     ///< The current load needs more targets than the demand.
  kNoDemandStated,  ///< No positive daily demand is stated; all targets serve.
};

/// Number of targets that should serve, and the reason for it.
struct PlannedTargets {
  std::uint32_t count = 0;
  PlanReason reason = PlanReason::kNoDemandStated;
  double demand = 0;  ///< Expected demand, in requests per second.
};

/// Looks up the demand in force at a time. Rows of a date replace the daily
/// rows on that date; before a day's first row the last row of the previous day
/// is in force. If the date is a holiday in some zones only, the larger of the
/// holiday's demand and the daily demand is in force.
/// @param rows Demand of all services.
/// @param service Service to look up.
/// @param now Local time.
/// @return Requests per second; empty if no row of the service is in force.
auto FindDemandAt(const std::vector<DemandRow>& rows,
                  ServiceId service,
                  const LocalTime& now) -> std::optional<double>;

/// Computes how many targets of a service should serve. service.target_count
/// is assumed to be sized for the largest daily demand; smaller demands get a
/// proportional number of targets, plus headroom.
/// @param rows Demand of all services.
/// @param service Service to plan.
/// @param now Local time.
/// @param load Current load; the plan has at least the targets that this load
///     needs.
/// @param options Settings of the plan.
/// @return Number of targets, at most service.target_count, and the reason for
///     this number.
auto ComputePlannedTargets(const std::vector<DemandRow>& rows,
                           const Service& service,
                           const LocalTime& now,
                           const CurrentLoad& load,
                           const PlanOptions& options) -> PlannedTargets;

/// Computes how many targets the current flows and requests need.
/// @param service Service with the limits of one target.
/// @param load Current load.
/// @return Number of targets; may exceed service.target_count.
auto ComputeTargetCountForLoad(const Service& service, const CurrentLoad& load)
    -> std::uint64_t;

/// Adds minutes to a local time.
/// @param from Local time.
/// @param by Minutes to add; may be negative and may cross midnight.
/// @return The resulting local time.
auto AddMinutesToLocalTime(const LocalTime& from, std::chrono::minutes by)
    -> LocalTime;

/// Parses a date.
/// @param text "2026-12-24".
/// @return The date.
/// @throws Error kInvalidSettings if the text is not a valid date.
auto ParseDate(const std::string& text) -> std::chrono::year_month_day;

/// Formats a date.
/// @param date Any valid date.
/// @return "2026-12-24".
auto FormatDate(std::chrono::year_month_day date) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_H_
