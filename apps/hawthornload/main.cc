/// @file
/// hawthornload: load generator that simulates the callers of both
/// organisations' workloads, for demos and measurements.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>

#include "arrivals.h"
#include "hawthornbank/error.h"
#include "options.h"
#include "report.h"
#include "requests.h"
#include "transport/command_line.h"
#include "watches.h"

namespace hawthornbank::load {
namespace {

constexpr std::chrono::milliseconds kPollInterval{2};

volatile std::sig_atomic_t stop_requested = 0;

auto WriteReportFileIfRequested(const LoadOptions& options,
                                const std::string& text) -> void {
  if (options.report_path.empty()) {
    return;
  }
  std::ofstream out(options.report_path);
  out << text << '\n';
  if (!out) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't write the report '" + options.report_path + "'");
  }
}

auto RunLoadAndWriteReport(const LoadOptions& options) -> void {
  const auto context = MakeClientContext();
  Watches watches;
  Requests requests;
  const auto start = Clock::now();
  auto arrivals = CreateArrivals(options, start);
  OpenWatches(watches, context.get(), options);
  const auto end = start + options.duration;
  bool is_starting_calls = true;
  while (is_starting_calls || !requests.active.empty()) {
    coap_io_process(context.get(), kPollInterval.count());
    const auto now = Clock::now();
    if (is_starting_calls) {
      // Starts only calls due before the end of the run, so that the calls of
      // the arrival streams depend on options and seed, not on loop timing.
      StartDueCalls(arrivals, requests, context.get(), options,
                    std::min(now, end));
    }
    is_starting_calls = is_starting_calls && now < end && stop_requested == 0;
    AdvanceRequests(requests, context.get(), now);
    ReopenFailedOrSilentWatches(watches, context.get(), now);
  }
  for (const auto& it : watches.all) {
    CancelObservation(*it->flow);
  }
  WriteReportFileIfRequested(options, FormatReportAsJson(watches, requests));
  PrintRunSummary(std::cout, watches, requests);
}

}  // namespace
}  // namespace hawthornbank::load

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank;
  return transport::RunAndReportErrors("hawthornload", [argc, argv] {
    std::signal(SIGTERM, [](int) { load::stop_requested = 1; });
    std::signal(SIGINT, [](int) { load::stop_requested = 1; });
    load::RunLoadAndWriteReport(load::ParseLoadOptions(argc, argv));
  });
}
