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

constexpr minutes kStep{15};
constexpr minutes kPlotStep{60};
constexpr minutes kDay = std::chrono::days{1};

/// The plan of a service at one time of a day.
struct Point {
  minutes time;
  PlannedTargets planned;
};

auto PlanDay(const Configuration& configuration,
             const Service& service,
             std::chrono::year_month_day date) -> std::vector<Point> {
  std::vector<Point> points;
  for (minutes time{0}; time < kDay; time += kStep) {
    points.push_back(Point{
        .time = time,
        .planned = PlanTargets(configuration.demand, service,
                               LocalTime{.date = date, .time = time}, {}, {})});
  }
  return points;
}

auto MakeTable(const std::vector<Point>& points, const Service& service)
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
    if (!change.empty() || it.time % kPlotStep == minutes{0}) {
      table.push_back({service.name, FormatTime(it.time),
                       FormatRate(it.planned.demand), std::to_string(count),
                       std::to_string(std::uint64_t{count} * service.slots),
                       change});
    }
    last = count;
  }
  return table;
}

/// Prints a row a line: '#' demand and '.' capacity above it, both as shares
/// of the day's largest demand and of all targets.
auto PrintPlot(const Table& table, const Service& service, double peak)
    -> void {
  constexpr double kWidth = 40;
  std::cout << "time   demand/s  targets  slots  change\n";
  for (std::size_t n = 1; n < table.size(); ++n) {
    const auto& row = table[n];
    const double demand = peak > 0 ? std::stod(row[2]) / peak : 0;
    const double capacity =
        std::stod(row[3]) / std::max<std::uint32_t>(service.target_count, 1);
    const auto marks = static_cast<std::size_t>(std::lround(demand * kWidth));
    const auto room = static_cast<std::size_t>(std::lround(capacity * kWidth));
    const auto pad = [](const std::string& text, std::size_t width) {
      return std::string(width - std::min(width, text.size()), ' ') + text;
    };
    std::cout << row[1] << pad(row[2], 10) << pad(row[3], 9) << pad(row[4], 7)
              << pad(row[5], 8) << "  " << std::string(marks, '#')
              << std::string(room > marks ? room - marks : 0, '.') << '\n';
  }
}

auto Today() -> std::chrono::year_month_day {
  return std::chrono::floor<std::chrono::days>(
      std::chrono::system_clock::now());
}

}  // namespace

auto RunPlanShow(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Shows a day of the plan: demand, targets, slots, and when they change.",
      ' ', transport::Version());
  CommonArguments common(command);
  TCLAP::ValueArg<std::string> date("", "date", "The day; else today (UTC)",
                                    false, "", "YYYY-MM-DD", command);
  TCLAP::UnlabeledValueArg<std::string> name("service", "One service", false,
                                             "", "SERVICE", command);
  Parse(command, words);
  const auto day = date.isSet() ? ParseDate(date.getValue()) : Today();
  const Configuration configuration = ReadAccepted(common);
  std::vector<Service> services = configuration.services;
  if (name.isSet()) {
    services = {RequireService(configuration, name.getValue())};
  }
  Table all = {{"service", "time", "demand", "targets", "slots", "change"}};
  for (const auto& it : services) {
    const auto points = PlanDay(configuration, it, day);
    const Table table = MakeTable(points, it);
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
    PrintPlot(table, it, peak);
  }
  if (common.json.getValue()) {
    PrintTable(all, true);
  }
  return 0;
}

}  // namespace hawthornbank::hawthornctl
