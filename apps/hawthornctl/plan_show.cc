#include <algorithm>
#include <cmath>
#include <iostream>

#include "arguments.h"
#include "change.h"
#include "hawthornbank/plan.h"
#include "names.h"
#include "protocol/configuration_diff.h"
#include "table.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

using std::chrono::minutes;

constexpr minutes kPlanStep{15};
constexpr minutes kRowInterval{60};
constexpr minutes kDay = std::chrono::days{1};

/// Planned demand and targets of a service at one time of a day.
struct PlanPoint {
  minutes time;
  PlannedTargets planned;
};

auto ComputeDayPlan(const Configuration& configuration,
                    const Service& service,
                    std::chrono::year_month_day date)
    -> std::vector<PlanPoint> {
  std::vector<PlanPoint> points;
  for (minutes time{0}; time < kDay; time += kPlanStep) {
    points.push_back(PlanPoint{
        .time = time,
        .planned = ComputePlannedTargets(configuration.demand, service,
                                         LocalTime{.date = date, .time = time},
                                         {}, {})});
  }
  return points;
}

auto MakePlanTable(const std::vector<PlanPoint>& points, const Service& service)
    -> Table {
  Table table = {{"service", "time", "demand", "targets", "slots", "change"}};
  std::uint32_t last = points.front().planned.count;
  for (const auto& it : points) {
    const std::uint32_t count = it.planned.count;
    std::string change;
    if (count != last) {
      change = count > last ? "+" + std::to_string(count - last)
                            : "-" + std::to_string(last - count);
    }
    if (!change.empty() || it.time % kRowInterval == minutes{0}) {
      table.push_back(
          {service.name, FormatTimeOfDay(it.time),
           FormatRequestRate(it.planned.demand), std::to_string(count),
           std::to_string(std::uint64_t{count} * service.slots), change});
    }
    last = count;
  }
  return table;
}

/// Prints each row of the table with a bar. '#' characters show the demand as
/// a share of the day's largest demand; '.' characters extend the bar to the
/// planned targets as a share of all targets of the service.
auto PrintPlanChart(const Table& table, const Service& service, double peak)
    -> void {
  constexpr double kBarWidth = 40;
  std::cout << "time   demand/s  targets  slots  change\n";
  for (std::size_t n = 1; n < table.size(); ++n) {
    const auto& row = table[n];
    const double demand = peak > 0 ? std::stod(row[2]) / peak : 0;
    const double capacity =
        std::stod(row[3]) / std::max<std::uint32_t>(service.target_count, 1);
    const auto demand_marks =
        static_cast<std::size_t>(std::lround(demand * kBarWidth));
    const auto capacity_marks =
        static_cast<std::size_t>(std::lround(capacity * kBarWidth));
    const auto pad_left = [](const std::string& text, std::size_t width) {
      return std::string(width - std::min(width, text.size()), ' ') + text;
    };
    std::cout << row[1] << pad_left(row[2], 10) << pad_left(row[3], 9)
              << pad_left(row[4], 7) << pad_left(row[5], 8) << "  "
              << std::string(demand_marks, '#')
              << std::string(capacity_marks > demand_marks
                                 ? capacity_marks - demand_marks
                                 : 0,
                             '.')
              << '\n';
  }
}

auto GetCurrentUtcDate() -> std::chrono::year_month_day {
  return std::chrono::floor<std::chrono::days>(
      std::chrono::system_clock::now());
}

}  // namespace

auto RunPlanShowCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Shows the plan of a day: demand, targets, slots and when they change.",
      ' ', transport::GetVersion());
  CommonArguments common(command);
  TCLAP::ValueArg<std::string> date("", "date",
                                    "Day of the plan; default: today (UTC)",
                                    false, "", "YYYY-MM-DD", command);
  TCLAP::UnlabeledValueArg<std::string> name("service",
                                             "Service to show; default: all",
                                             false, "", "SERVICE", command);
  ParseArguments(command, words);
  const auto day =
      date.isSet() ? ParseDate(date.getValue()) : GetCurrentUtcDate();
  const Configuration configuration = ReadAcceptedConfiguration(common);
  std::vector<Service> services = configuration.services;
  if (name.isSet()) {
    services = {FindRequiredService(configuration, name.getValue())};
  }
  Table all = {{"service", "time", "demand", "targets", "slots", "change"}};
  for (const auto& it : services) {
    const auto points = ComputeDayPlan(configuration, it, day);
    const Table table = MakePlanTable(points, it);
    all.insert(all.end(), table.begin() + 1, table.end());
    if (common.json.getValue()) {
      continue;
    }
    double peak = 0;
    for (const auto& point : points) {
      peak = std::max(peak, point.planned.demand);
    }
    std::cout << it.name << " on " << FormatDate(day) << ": " << it.target_count
              << " targets of " << it.slots << " slots\n";
    PrintPlanChart(table, it, peak);
  }
  if (common.json.getValue()) {
    PrintTable(all, true);
  }
  return 0;
}

}  // namespace hawthornbank::hawthornctl
