/// @file
/// hawthornload: callers of both workloads, for demos and measurements.
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>

#include "hawthornbank/error.h"
#include "hawthornbank/random.h"
#include "options.h"
#include "report.h"
#include "requests.h"
#include "watches.h"

namespace hawthornbank::load {
namespace {

constexpr std::chrono::milliseconds kPollInterval{2};

volatile std::sig_atomic_t stop_requested = 0;

/// When the next request and upload start.
struct Arrivals {
  Random random;
  std::vector<const ServiceUnderLoad*> requested;
  std::vector<const ServiceUnderLoad*> uploaded;
  Clock::time_point next_request;
  Clock::time_point next_upload;
  std::uint64_t request_count = 0;
  std::uint64_t upload_count = 0;
};

auto MakeArrivals(const LoadOptions& options, Clock::time_point start)
    -> Arrivals {
  Arrivals arrivals{.random = Random(options.seed),
                    .next_request = start,
                    .next_upload = start};
  for (const auto& it : options.services) {
    if (!it.workload.request_path.empty()) {
      arrivals.requested.push_back(&it);
    }
    if (!it.workload.upload_path.empty()) {
      arrivals.uploaded.push_back(&it);
    }
  }
  return arrivals;
}

/// @return Time to the next request of a Poisson process.
auto NextGap(Random& random, double per_second) -> Clock::duration {
  const std::chrono::duration<double> gap(
      -std::log(1.0 - NextFraction(random)) / per_second);
  return std::chrono::duration_cast<Clock::duration>(gap);
}

auto StartDue(Arrivals& arrivals,
              Requests& requests,
              coap_context_t* context,
              const LoadOptions& options,
              Clock::time_point now) -> void {
  const auto prefix = std::to_string(options.seed) + "-";
  while (options.requests_per_second > 0 && !arrivals.requested.empty() &&
         arrivals.next_request <= now) {
    const auto n = arrivals.request_count++;
    StartRequest(requests, context,
                 *arrivals.requested[n % arrivals.requested.size()],
                 prefix + "r" + std::to_string(n) + ".", options.deadline);
    arrivals.next_request +=
        NextGap(arrivals.random, options.requests_per_second);
  }
  while (!arrivals.uploaded.empty() &&
         arrivals.upload_count < options.uploads &&
         arrivals.next_upload <= now) {
    const auto n = arrivals.upload_count++;
    StartUpload(requests, context,
                *arrivals.uploaded[n % arrivals.uploaded.size()],
                prefix + "u" + std::to_string(n) + ".", options.upload_bytes);
    arrivals.next_upload += options.duration / options.uploads;
  }
}

auto WriteReport(const LoadOptions& options, const std::string& text) -> void {
  if (options.report.empty()) {
    return;
  }
  std::ofstream out(options.report);
  out << text << '\n';
  if (!out) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't write the report '" + options.report + "'");
  }
}

auto Run(const LoadOptions& options) -> void {
  const auto context = MakeContext();
  Watches watches;
  Requests requests;
  const auto start = Clock::now();
  auto arrivals = MakeArrivals(options, start);
  OpenWatches(watches, context.get(), options);
  const auto end = start + options.duration;
  bool open = true;
  while (open || !requests.active.empty()) {
    coap_io_process(context.get(), kPollInterval.count());
    const auto now = Clock::now();
    open = now < end && stop_requested == 0;
    if (open) {
      StartDue(arrivals, requests, context.get(), options, now);
    }
    AdvanceRequests(requests, context.get(), now);
    CheckWatches(watches, context.get(), now);
  }
  for (const auto& it : watches.all) {
    CancelObserve(*it->flow);
  }
  WriteReport(options, RenderReport(watches, requests));
  PrintSummary(std::cout, watches, requests);
}

}  // namespace
}  // namespace hawthornbank::load

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank;
  try {
    std::signal(SIGTERM, [](int) { load::stop_requested = 1; });
    std::signal(SIGINT, [](int) { load::stop_requested = 1; });
    load::Run(load::ParseOptions(argc, argv));
    return 0;
  } catch (const Error& error) {
    std::cerr << "hawthornload: " << error.what() << '\n';
    return AnswerFor(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::cerr << "hawthornload: " << error.what() << '\n';
    return AnswerFor(ErrorKind::kInternal).exit_code;
  }
}
