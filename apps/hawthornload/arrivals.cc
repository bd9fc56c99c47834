#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "hawthornbank/error.h"

namespace hawthornbank::load {
namespace {

using std::chrono::milliseconds;

/// Time between two requests of a steady caller.
constexpr std::chrono::seconds kSteadyInterval{1};

/// @return Random time to the next event of a Poisson process.
auto DrawPoissonInterval(Random& random, double per_second) -> Clock::duration {
  const std::chrono::duration<double> gap(
      -std::log(1.0 - DrawRandomFraction(random)) / per_second);
  return std::chrono::duration_cast<Clock::duration>(gap);
}

auto ReadSheetFile(const std::string& path) -> Sheet {
  std::error_code ec;
  std::ifstream in(path, std::ios::binary);
  if (!std::filesystem::is_regular_file(path, ec) || !in) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't read the sheet '" + path + "'");
  }
  const std::string text(std::istreambuf_iterator<char>(in), {});
  return ParseSheet(text, path);
}

auto AddArrivalStream(Arrivals& arrivals,
                      const ServiceUnderLoad& service,
                      bool is_upload,
                      const DayDemand& demand) -> void {
  double peak = 0;
  for (const auto& it : demand) {
    peak = std::max(peak, it.per_second);
  }
  if (peak <= 0) {
    return;
  }
  arrivals.streams.push_back(
      {.service = &service,
       .is_upload = is_upload,
       .demand = demand,
       .peak_per_second = peak,
       .next_possible_arrival =
           arrivals.start + DrawPoissonInterval(arrivals.random, peak)});
}

auto AddStreamsFromSheet(Arrivals& arrivals, const LoadOptions& options)
    -> void {
  const auto sheet = ReadSheetFile(options.sheet_path);
  for (const auto& it : options.services) {
    auto demand = SelectDayDemand(sheet, it.workload.service, options.day);
    if (demand.empty()) {
      throw Error(ErrorKind::kInvalidSettings,
                  options.sheet_path + ": holds no demand of service '" +
                      it.workload.service + "'");
    }
    for (auto& point : demand) {
      point.per_second *= options.scale;
    }
    AddArrivalStream(arrivals, it, !it.workload.upload_path.empty(), demand);
  }
}

auto AddConstantRateStreams(Arrivals& arrivals, const LoadOptions& options)
    -> void {
  const auto request_service_count = std::count_if(
      options.services.begin(), options.services.end(),
      [](const auto& it) { return !it.workload.request_path.empty(); });
  const auto upload_service_count = std::count_if(
      options.services.begin(), options.services.end(),
      [](const auto& it) { return !it.workload.upload_path.empty(); });
  const std::chrono::duration<double> duration = options.duration;
  for (const auto& it : options.services) {
    if (!it.workload.request_path.empty()) {
      const double rate = options.requests_per_second /
                          static_cast<double>(request_service_count);
      AddArrivalStream(arrivals, it, false, {{.per_second = rate}});
    }
    if (!it.workload.upload_path.empty()) {
      const double rate = options.uploads / duration.count() /
                          static_cast<double>(upload_service_count);
      AddArrivalStream(arrivals, it, true, {{.per_second = rate}});
    }
  }
}

}  // namespace

auto CreateArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals {
  Arrivals arrivals{.random = Random(options.seed),
                    .start = start,
                    .next_steady_round = start};
  for (const auto& it : options.services) {
    if (!it.workload.request_path.empty()) {
      arrivals.request_services.push_back(&it);
    }
  }
  if (options.sheet_path.empty()) {
    AddConstantRateStreams(arrivals, options);
  } else {
    AddStreamsFromSheet(arrivals, options);
  }
  return arrivals;
}

auto TakeDueArrivals(Arrivals& arrivals,
                     const LoadOptions& options,
                     Clock::time_point now)
    -> std::vector<const ArrivalStream*> {
  std::vector<const ArrivalStream*> due;
  for (auto& it : arrivals.streams) {
    while (it.next_possible_arrival <= now) {
      const auto elapsed = std::chrono::duration_cast<milliseconds>(
          it.next_possible_arrival - arrivals.start);
      const double rate = FindRateAtTimeOfDay(
          it.demand, MapRunTimeToTimeOfDay(elapsed, options.duration));
      // Thinning: possible arrivals are drawn at the peak rate, and each is
      // accepted with the probability current rate / peak rate.
      if (DrawRandomFraction(arrivals.random) * it.peak_per_second < rate) {
        due.push_back(&it);
      }
      it.next_possible_arrival +=
          DrawPoissonInterval(arrivals.random, it.peak_per_second);
    }
  }
  return due;
}

namespace {

// The ID ends in a dot, so that no ID is a prefix of another.
auto MakeNextRequestId(Arrivals& arrivals, const LoadOptions& options)
    -> std::string {
  return std::to_string(options.seed) + "-" +
         std::to_string(arrivals.issued_ids++) + ".";
}

auto StartSteadyCallerRequests(Arrivals& arrivals,
                               Requests& requests,
                               coap_context_t* context,
                               const LoadOptions& options,
                               Clock::time_point now) -> void {
  const auto& services = arrivals.request_services;
  if (now < arrivals.next_steady_round || services.empty()) {
    return;
  }
  arrivals.next_steady_round += kSteadyInterval;
  for (std::uint32_t n = 0; n < options.steady_callers; ++n) {
    StartRequest(requests, context, *services[n % services.size()],
                 MakeNextRequestId(arrivals, options), options.deadline, n);
  }
}

}  // namespace

auto StartDueCalls(Arrivals& arrivals,
                   Requests& requests,
                   coap_context_t* context,
                   const LoadOptions& options,
                   Clock::time_point now) -> void {
  for (const auto* const it : TakeDueArrivals(arrivals, options, now)) {
    const auto id = MakeNextRequestId(arrivals, options);
    if (it->is_upload) {
      StartUpload(requests, context, *it->service, id, options.upload_bytes);
    } else {
      StartRequest(requests, context, *it->service, id, options.deadline);
    }
  }
  StartSteadyCallerRequests(arrivals, requests, context, options, now);
}

}  // namespace hawthornbank::load
