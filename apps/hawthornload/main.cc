/// @file
/// hawthornload: callers of both workloads, for demos and measurements.
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
    if (open) {
      // Up to the end, so that the seed alone decides what is started.
      StartDue(arrivals, requests, context.get(), options, std::min(now, end));
    }
    open = open && now < end && stop_requested == 0;
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
  return transport::RunProgram("hawthornload", [argc, argv] {
    std::signal(SIGTERM, [](int) { load::stop_requested = 1; });
    std::signal(SIGINT, [](int) { load::stop_requested = 1; });
    load::Run(load::ParseOptions(argc, argv));
  });
}
