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
/// day. Pure functions of the demand rows, the local time and what current
/// flows need. Times are wall-clock times of the place where the plan was
/// made: an hour that daylight saving repeats is planned twice, and rows in an
/// hour that it leaves out take effect right after it.
namespace hawthornbank {

/// A time of day on a date.
struct LocalTime {
  std::chrono::year_month_day date;
  std::chrono::minutes time{0};  ///< Since local midnight.
};

/// How the plan follows demand.
struct PlanOptions {
  std::chrono::minutes warm_up{15};  ///< Targets serve this long before a rise.
  std::chrono::minutes linger{15};   ///< And this long after a fall.
  std::uint32_t headroom_percent = 20;
  std::uint32_t minimum_targets = 2;  ///< Less only if fewer are provided.
};

/// What flows and requests take at the moment.
struct PresentLoad {
  std::uint64_t connections = 0;
  std::uint64_t slots_busy = 0;
};

/// What decided the number of targets.
enum class PlanReason : std::uint8_t {
  kDemand,       ///< The expected demand.
  kPresentLoad,  ///< Current flows need more than the plan expects.
  kNoPlan,       ///< No demand is stated: all targets serve.
};

/// How many targets should serve, and why.
struct PlannedTargets {
  std::uint32_t count = 0;
  PlanReason reason = PlanReason::kNoPlan;
  double demand = 0;  ///< Expected now, in requests per second.
};

/// Looks up the demand in force at a time. Rows of a date replace the daily
/// rows on that date; before a day's first row the last row of the day before
/// is in force. Where the date is a holiday in some zones only, the larger of
/// its demand and the daily one counts.
/// @param rows Demand of all services.
/// @param service The service asked for.
/// @param now Local time.
/// @return Requests per second, or nothing when no row says.
auto DemandAt(const std::vector<DemandRow>& rows,
              ServiceId service,
              const LocalTime& now) -> std::optional<double>;

/// Decides how many targets should serve. The targets that the operator
/// provides are taken as sized for the largest daily demand, others in
/// proportion, with headroom.
/// @param rows Demand of all services.
/// @param service The service.
/// @param now Local time.
/// @param load What current flows take; never planned below.
/// @param options How the plan follows demand.
/// @return The number of targets, at most service.target_count.
auto PlanTargets(const std::vector<DemandRow>& rows,
                 const Service& service,
                 const LocalTime& now,
                 const PresentLoad& load,
                 const PlanOptions& options) -> PlannedTargets;

/// Says how many targets current flows and requests need.
/// @param service The service.
/// @param load What they take.
/// @return The number of targets, which may be more than there are.
auto TargetsForLoad(const Service& service, const PresentLoad& load)
    -> std::uint64_t;

/// Moves a local time.
/// @param from Where to start.
/// @param by How far; may cross midnight and may be negative.
/// @return The time there.
auto Advance(const LocalTime& from, std::chrono::minutes by) -> LocalTime;

/// Parses a date.
/// @param text "2026-12-24".
/// @return The date.
/// @throws Error kInvalidSettings when there is no such day.
auto ParseDate(const std::string& text) -> std::chrono::year_month_day;

/// Formats a date.
/// @param date Any valid date.
/// @return "2026-12-24".
auto FormatDate(std::chrono::year_month_day date) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_H_
