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

/// Between two requests of a steady caller.
constexpr std::chrono::seconds kSteadyInterval{1};

/// @return Time to the next event of a Poisson process.
auto NextGap(Random& random, double per_second) -> Clock::duration {
  const std::chrono::duration<double> gap(
      -std::log(1.0 - DrawRandomFraction(random)) / per_second);
  return std::chrono::duration_cast<Clock::duration>(gap);
}

auto ReadSheet(const std::string& path) -> Sheet {
  std::error_code ec;
  std::ifstream in(path, std::ios::binary);
  if (!std::filesystem::is_regular_file(path, ec) || !in) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't read the sheet '" + path + "'");
  }
  const std::string text(std::istreambuf_iterator<char>(in), {});
  return ParseSheet(text, path);
}

auto Add(Arrivals& arrivals,
         const ServiceUnderLoad& service,
         bool upload,
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
       .upload = upload,
       .demand = demand,
       .peak_per_second = peak,
       .next = arrivals.start + NextGap(arrivals.random, peak)});
}

auto AddFromSheet(Arrivals& arrivals, const LoadOptions& options) -> void {
  const auto sheet = ReadSheet(options.sheet);
  for (const auto& it : options.services) {
    auto demand = DemandOfDay(sheet, it.workload.service, options.day);
    if (demand.empty()) {
      throw Error(ErrorKind::kInvalidSettings,
                  options.sheet + ": holds no demand of service '" +
                      it.workload.service + "'");
    }
    for (auto& point : demand) {
      point.per_second *= options.scale;
    }
    Add(arrivals, it, !it.workload.upload_path.empty(), demand);
  }
}

auto AddConstant(Arrivals& arrivals, const LoadOptions& options) -> void {
  const auto requested = std::count_if(
      options.services.begin(), options.services.end(),
      [](const auto& it) { return !it.workload.request_path.empty(); });
  const auto uploaded = std::count_if(
      options.services.begin(), options.services.end(),
      [](const auto& it) { return !it.workload.upload_path.empty(); });
  const std::chrono::duration<double> duration = options.duration;
  for (const auto& it : options.services) {
    if (!it.workload.request_path.empty()) {
      const double rate =
          options.requests_per_second / static_cast<double>(requested);
      Add(arrivals, it, false, {{.per_second = rate}});
    }
    if (!it.workload.upload_path.empty()) {
      const double rate =
          options.uploads / duration.count() / static_cast<double>(uploaded);
      Add(arrivals, it, true, {{.per_second = rate}});
    }
  }
}

}  // namespace

auto MakeArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals {
  Arrivals arrivals{
      .random = Random(options.seed), .start = start, .next_steady = start};
  for (const auto& it : options.services) {
    if (!it.workload.request_path.empty()) {
      arrivals.request_services.push_back(&it);
    }
  }
  if (options.sheet.empty()) {
    AddConstant(arrivals, options);
  } else {
    AddFromSheet(arrivals, options);
  }
  return arrivals;
}

auto TakeDue(Arrivals& arrivals,
             const LoadOptions& options,
             Clock::time_point now) -> std::vector<const ArrivalStream*> {
  std::vector<const ArrivalStream*> due;
  for (auto& it : arrivals.streams) {
    while (it.next <= now) {
      const auto elapsed =
          std::chrono::duration_cast<milliseconds>(it.next - arrivals.start);
      const double rate =
          RateAt(it.demand, TimeOfDay(elapsed, options.duration));
      // Candidates come at the peak rate; the present rate's share is kept.
      if (DrawRandomFraction(arrivals.random) * it.peak_per_second < rate) {
        due.push_back(&it);
      }
      it.next += NextGap(arrivals.random, it.peak_per_second);
    }
  }
  return due;
}

namespace {

// Ends in a dot, so that no identity is the start of another.
auto NextId(Arrivals& arrivals, const LoadOptions& options) -> std::string {
  return std::to_string(options.seed) + "-" + std::to_string(arrivals.count++) +
         ".";
}

auto StartSteadyCallers(Arrivals& arrivals,
                        Requests& requests,
                        coap_context_t* context,
                        const LoadOptions& options,
                        Clock::time_point now) -> void {
  const auto& services = arrivals.request_services;
  if (now < arrivals.next_steady || services.empty()) {
    return;
  }
  arrivals.next_steady += kSteadyInterval;
  for (std::uint32_t n = 0; n < options.steady_callers; ++n) {
    StartRequest(requests, context, *services[n % services.size()],
                 NextId(arrivals, options), options.deadline, n);
  }
}

}  // namespace

auto StartDue(Arrivals& arrivals,
              Requests& requests,
              coap_context_t* context,
              const LoadOptions& options,
              Clock::time_point now) -> void {
  for (const auto* const it : TakeDue(arrivals, options, now)) {
    const auto id = NextId(arrivals, options);
    if (it->upload) {
      StartUpload(requests, context, *it->service, id, options.upload_bytes);
    } else {
      StartRequest(requests, context, *it->service, id, options.deadline);
    }
  }
  StartSteadyCallers(arrivals, requests, context, options, now);
}

}  // namespace hawthornbank::load
