#include "report.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace hawthornbank::load {
namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerMillisecond = 1000;

auto ToMilliseconds(std::chrono::microseconds value) -> double {
  return static_cast<double>(value.count()) / kMicrosecondsPerMillisecond;
}

auto ConvertWatchCountersToJson(const WatchCounters& counters) -> json {
  return {{"opened", counters.opened},
          {"broken", counters.broken},
          {"refused", counters.refused},
          {"notifications", counters.notifications},
          {"gaps", counters.gaps},
          {"moved", counters.moved},
          {"wrong_service", counters.wrong_service}};
}

auto ConvertUnsettledRequestsToJson(
    const std::vector<UnsettledRequest>& unsettled) -> json {
  json value = json::array();
  for (const auto& it : unsettled) {
    value.push_back(
        {{"id", it.id}, {"caller", it.caller}, {"start_ms", it.start.count()}});
  }
  return value;
}

auto ConvertRequestCountersToJson(const RequestCounters& counters) -> json {
  const auto latency = SummarizeLatency(counters.latency);
  return {{"started", counters.started},
          {"answered", counters.answered},
          {"refused", counters.refused},
          {"unknown", counters.unknown},
          {"lost", counters.lost},
          {"crossed", counters.crossed},
          {"retries", counters.retries},
          {"echoes", counters.echoes},
          {"codes", counters.codes},
          {"answered_ids", counters.answered_ids},
          {"refused_ids", counters.refused_ids},
          {"unsettled", ConvertUnsettledRequestsToJson(counters.unsettled)},
          {"latency_ms",
           {{"median", ToMilliseconds(latency.median)},
            {"p90", ToMilliseconds(latency.p90)},
            {"p99", ToMilliseconds(latency.p99)},
            {"max", ToMilliseconds(latency.max)}}}};
}

auto ConvertServiceCountersToJson(
    const std::map<std::string, RequestCounters>& by_service) -> json {
  json value = json::object();
  for (const auto& [service, counters] : by_service) {
    value[service] = ConvertRequestCountersToJson(counters);
  }
  return value;
}

auto PrintCountersRow(std::ostream& out,
                      const std::string& name,
                      const RequestCounters& counters) -> void {
  constexpr int kNameWidth = 20;
  constexpr int kWidth = 9;
  const auto latency = SummarizeLatency(counters.latency);
  out << std::left << std::setw(kNameWidth) << name << std::right;
  for (const auto n :
       {counters.started, counters.answered, counters.refused, counters.unknown,
        counters.lost, counters.crossed, counters.retries, counters.echoes}) {
    out << std::setw(kWidth) << n;
  }
  out << std::fixed << std::setprecision(1);
  for (const auto value :
       {latency.median, latency.p90, latency.p99, latency.max}) {
    out << std::setw(kWidth) << ToMilliseconds(value);
  }
  out << '\n';
}

}  // namespace

auto FormatReportAsJson(const Watches& watches, const Requests& requests)
    -> std::string {
  constexpr int kIndent = 1;
  return json{
      {"watches", ConvertWatchCountersToJson(watches.counters)},
      {"requests", ConvertServiceCountersToJson(requests.request_counters)},
      {"uploads", ConvertServiceCountersToJson(requests.upload_counters)}}
      .dump(kIndent);
}

auto PrintRunSummary(std::ostream& out,
                     const Watches& watches,
                     const Requests& requests) -> void {
  const auto& counters = watches.counters;
  out << "watches: " << counters.opened << " opened, " << counters.broken
      << " broken, " << counters.refused << " refused, "
      << counters.notifications << " notifications, " << counters.gaps
      << " missed, " << counters.moved << " moved, " << counters.wrong_service
      << " from another service\n"
      << "                      started answered  refused  unknown     lost  "
         "crossed  retries   echoes   p50 ms   p90 ms   p99 ms   max ms\n";
  for (const auto& [service, it] : requests.request_counters) {
    PrintCountersRow(out, service + " requests", it);
  }
  for (const auto& [service, it] : requests.upload_counters) {
    PrintCountersRow(out, service + " uploads", it);
  }
}

}  // namespace hawthornbank::load
