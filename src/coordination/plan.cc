#include "hawthornbank/plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

using std::chrono::minutes;

constexpr auto kDaily = "daily";

/// @return Whether the service has any row for `day`, a date or "daily".
auto HasRowsForDay(const std::vector<DemandRow>& rows,
                   ServiceId service,
                   const std::string& day) -> bool {
  return std::any_of(rows.begin(), rows.end(), [&](const DemandRow& it) {
    return it.service == service && it.day == day;
  });
}

/// @return The service's last row for `day` that starts at or before now.time;
///     null if there is none.
auto FindLastRowOfDay(const std::vector<DemandRow>& rows,
                      ServiceId service,
                      const std::string& day,
                      const LocalTime& now) -> const DemandRow* {
  const DemandRow* last = nullptr;
  for (const auto& it : rows) {
    const bool started =
        it.service == service && it.day == day && it.start <= now.time;
    if (started && (last == nullptr || it.start >= last->start)) {
      last = &it;
    }
  }
  return last;
}

/// @return The service's row in force at `now`, from the rows that apply on
///     now.date; null if none of these rows has started yet.
auto FindRowInForce(const std::vector<DemandRow>& rows,
                    ServiceId service,
                    const LocalTime& now) -> const DemandRow* {
  const std::string date = FormatDate(now.date);
  if (!HasRowsForDay(rows, service, date)) {
    return FindLastRowOfDay(rows, service, kDaily, now);
  }
  const DemandRow* const holiday = FindLastRowOfDay(rows, service, date, now);
  if (holiday == nullptr || holiday->zones.empty()) {
    return holiday;
  }
  // Only some zones have the holiday: the row with the larger demand, holiday
  // or daily, is used for the whole service.
  const DemandRow* const daily = FindLastRowOfDay(rows, service, kDaily, now);
  const bool ordinary = daily != nullptr && daily->requests_per_second >
                                                holiday->requests_per_second;
  return ordinary ? daily : holiday;
}

/// @return The largest demand in the service's daily rows; 0 if it has none.
auto ComputePeakDailyDemand(const std::vector<DemandRow>& rows,
                            ServiceId service) -> double {
  double peak = 0;
  for (const auto& it : rows) {
    if (it.service == service && it.day == kDaily) {
      peak = std::max(peak, it.requests_per_second);
    }
  }
  return peak;
}

/// @return The service's largest demand from one cool-down before `now` to one
///     warm-up after `now`.
auto ComputePeakDemandAroundNow(const std::vector<DemandRow>& rows,
                                ServiceId service,
                                const LocalTime& now,
                                const PlanOptions& options) -> double {
  const LocalTime first = AddMinutesToLocalTime(now, -options.cool_down);
  double peak = FindDemandAt(rows, service, first).value_or(0);
  const minutes span = options.cool_down + options.warm_up;
  for (minutes offset{1}; offset <= span; ++offset) {
    const auto demand =
        FindDemandAt(rows, service, AddMinutesToLocalTime(first, offset));
    peak = std::max(peak, demand.value_or(0));
  }
  return peak;
}

auto DivideRoundingUp(std::uint64_t amount, std::uint64_t unit)
    -> std::uint64_t {
  return unit == 0 ? 0 : (amount + unit - 1) / unit;
}

auto ParseDatePart(std::string_view text) -> int {
  int value = -1;
  const char* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc() && next == end ? value : -1;
}

}  // namespace

auto FindDemandAt(const std::vector<DemandRow>& rows,
                  ServiceId service,
                  const LocalTime& now) -> std::optional<double> {
  const DemandRow* row = FindRowInForce(rows, service, now);
  if (row == nullptr) {
    const LocalTime evening =
        AddMinutesToLocalTime(now, -now.time - minutes{1});
    row = FindRowInForce(rows, service, evening);
  }
  if (row == nullptr) {
    return std::nullopt;
  }
  return row->requests_per_second;
}

auto ComputePlannedTargets(const std::vector<DemandRow>& rows,
                           const Service& service,
                           const LocalTime& now,
                           const CurrentLoad& load,
                           const PlanOptions& options) -> PlannedTargets {
  constexpr double kPercent = 100;
  const double peak = ComputePeakDailyDemand(rows, service.id);
  const auto demand = FindDemandAt(rows, service.id, now);
  if (!demand || peak <= 0) {
    return PlannedTargets{.count = service.target_count,
                          .reason = PlanReason::kNoDemandStated,
                          .demand = demand.value_or(0)};
  }
  const double share =
      ComputePeakDemandAroundNow(rows, service.id, now, options) / peak;
  const double headroom = 1 + options.headroom_percent / kPercent;
  const double wanted = std::ceil(share * headroom * service.target_count);
  const auto planned = std::max(static_cast<std::uint64_t>(std::min<double>(
                                    wanted, service.target_count)),
                                std::uint64_t{options.minimum_targets});
  const std::uint64_t needed = ComputeTargetCountForLoad(service, load);
  const std::uint64_t count = std::max(planned, needed);
  return PlannedTargets{
      .count = static_cast<std::uint32_t>(
          std::min<std::uint64_t>(count, service.target_count)),
      .reason =
          needed > planned ? PlanReason::kCurrentLoad : PlanReason::kDemand,
      .demand = *demand};
}

auto ComputeTargetCountForLoad(const Service& service, const CurrentLoad& load)
    -> std::uint64_t {
  return std::max(DivideRoundingUp(load.connections, service.max_connections),
                  DivideRoundingUp(load.slots_busy, service.slots));
}

auto AddMinutesToLocalTime(const LocalTime& from, minutes by) -> LocalTime {
  const auto instant = std::chrono::sys_days{from.date} + from.time + by;
  const auto day = std::chrono::floor<std::chrono::days>(instant);
  return LocalTime{.date = std::chrono::year_month_day{day},
                   .time = instant - day};
}

auto ParseDate(const std::string& text) -> std::chrono::year_month_day {
  constexpr std::size_t kLength = 10;
  const std::string_view view = text;
  const bool shaped =
      view.size() == kLength && view[4] == '-' && view[7] == '-';
  const int year = shaped ? ParseDatePart(view.substr(0, 4)) : -1;
  const int month = shaped ? ParseDatePart(view.substr(5, 2)) : -1;
  const int day = shaped ? ParseDatePart(view.substr(8, 2)) : -1;
  const std::chrono::year_month_day date{
      std::chrono::year{year},
      std::chrono::month{static_cast<unsigned>(std::max(month, 0))},
      std::chrono::day{static_cast<unsigned>(std::max(day, 0))}};
  if (year < 0 || !date.ok()) {
    throw Error(ErrorKind::kInvalidSettings,
                "there is no day '" + text + "'; write it as 2026-12-24");
  }
  return date;
}

auto FormatDate(std::chrono::year_month_day date) -> std::string {
  const auto pad = [](unsigned value, std::size_t width) {
    const std::string text = std::to_string(value);
    return std::string(width - std::min(width, text.size()), '0') + text;
  };
  return pad(static_cast<unsigned>(static_cast<int>(date.year())), 4) + "-" +
         pad(static_cast<unsigned>(date.month()), 2) + "-" +
         pad(static_cast<unsigned>(date.day()), 2);
}

}  // namespace hawthornbank
