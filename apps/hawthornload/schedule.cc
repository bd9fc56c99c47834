#include "schedule.h"

#include <algorithm>

namespace hawthornbank::load {
namespace {

constexpr std::chrono::minutes kDayLength{24 * 60};
constexpr const char* kDailyRows = "daily";

auto CollectDemandPoints(const Sheet& sheet,
                         const std::string& service,
                         const std::string& day) -> DayDemand {
  DayDemand points;
  for (const auto& it : sheet.demand) {
    if (it.service == service && it.row.day == day) {
      points.push_back(
          {.start = it.row.start, .per_second = it.row.requests_per_second});
    }
  }
  std::sort(points.begin(), points.end(),
            [](const DemandPoint& left, const DemandPoint& right) {
              return left.start < right.start;
            });
  return points;
}

}  // namespace

auto SelectDayDemand(const Sheet& sheet,
                     const std::string& service,
                     const std::string& day) -> DayDemand {
  auto points = CollectDemandPoints(sheet, service, day);
  return points.empty() ? CollectDemandPoints(sheet, service, kDailyRows)
                        : points;
}

auto FindRateAtTimeOfDay(const DayDemand& demand, std::chrono::minutes time)
    -> double {
  if (demand.empty()) {
    return 0;
  }
  double rate = demand.back().per_second;
  for (const auto& it : demand) {
    if (it.start > time) {
      break;
    }
    rate = it.per_second;
  }
  return rate;
}

auto MapRunTimeToTimeOfDay(std::chrono::milliseconds elapsed,
                           std::chrono::milliseconds duration)
    -> std::chrono::minutes {
  return std::chrono::minutes(kDayLength.count() * elapsed.count() /
                              duration.count()) %
         kDayLength;
}

}  // namespace hawthornbank::load
