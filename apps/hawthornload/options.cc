#include "options.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>

#include "hawthornbank/error.h"
#include "transport/version.h"

namespace hawthornbank::load {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUploadBytes = 64UL * 1024;

auto Workloads() -> const std::array<Workload, 4>& {
  static const std::array<Workload, 4> workloads = {{
      {.service = "fitquote", .watch_path = "board", .request_path = "quote"},
      {.service = "planstore", .upload_path = "plan"},
      {.service = "plan-core", .watch_path = "feed", .request_path = "permit"},
      {.service = "docs-in", .upload_path = "upload"},
  }};
  return workloads;
}

/// Parses "fitquote=127.0.0.1:5683".
auto ParseService(const std::string& text) -> ServiceUnderLoad {
  const auto separator = text.find('=');
  const auto name = text.substr(0, separator);
  const auto it = std::find_if(
      Workloads().begin(), Workloads().end(),
      [&name](const Workload& workload) { return workload.service == name; });
  if (separator == std::string::npos || it == Workloads().end()) {
    throw Error(ErrorKind::kInvalidSettings,
                "--service '" + text +
                    "' is not SERVICE=ADDRESS:PORT with one of fitquote, "
                    "planstore, plan-core, docs-in");
  }
  return {.workload = *it,
          .address = ParseEndpoint(text.substr(separator + 1))};
}

auto ToMilliseconds(double seconds) -> milliseconds {
  constexpr double kMillisecondsPerSecond = 1000;
  return milliseconds(
      static_cast<std::int64_t>(seconds * kMillisecondsPerSecond));
}

auto Check(const LoadOptions& options) -> void {
  if (options.duration <= milliseconds(0) || options.requests_per_second < 0 ||
      options.deadline <= milliseconds(0)) {
    throw Error(ErrorKind::kInvalidSettings,
                "--seconds and --deadline-ms must be above 0, --rate not "
                "below 0");
  }
  const bool has_rates = options.requests_per_second > 0 || options.uploads > 0;
  if (!options.sheet.empty() && has_rates) {
    throw Error(ErrorKind::kInvalidSettings,
                "--sheet sets the rates; leave out --rate and --uploads");
  }
  if (options.scale <= 0) {
    throw Error(ErrorKind::kInvalidSettings, "--scale must be above 0");
  }
}

}  // namespace

auto ParseOptions(int argc, char** argv) -> LoadOptions {
  TCLAP::CmdLine line(
      "Callers of both workloads: board watches, requests, uploads. Example: "
      "hawthornload --service fitquote=127.0.0.1:5683 --watches 20 --rate 50 "
      "--seconds 30",
      ' ', transport::Version());
  TCLAP::MultiArg<std::string> services(
      "", "service", "service and its public address, repeatable", true,
      "SERVICE=ADDRESS:PORT", line);
  TCLAP::ValueArg<std::uint32_t> watches("", "watches", "boards held open",
                                         false, 0, "N", line);
  TCLAP::ValueArg<std::uint32_t> steady(
      "", "steady-callers", "callers that keep a flow, a request a second each",
      false, 0, "N", line);
  TCLAP::ValueArg<double> rate("", "rate", "requests a second, all services",
                               false, 0, "R", line);
  TCLAP::ValueArg<std::uint32_t> uploads("", "uploads", "uploads in the run",
                                         false, 0, "N", line);
  TCLAP::ValueArg<std::size_t> upload_bytes("", "upload-bytes",
                                            "size of an upload", false,
                                            kUploadBytes, "BYTES", line);
  TCLAP::ValueArg<double> seconds("", "seconds", "length of the run", false, 10,
                                  "S", line);
  TCLAP::ValueArg<int> deadline("", "deadline-ms", "deadline of a request",
                                false, 3000, "MS", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of arrivals", false, 1,
                                      "N", line);
  TCLAP::ValueArg<std::string> sheet(
      "", "sheet", "sheet whose day, compressed into the run, sets the rates",
      false, "", "FILE", line);
  TCLAP::ValueArg<std::string> day("", "day", "day of the sheet", false,
                                   "daily", "YYYY-MM-DD", line);
  TCLAP::ValueArg<double> scale("", "scale", "factor on the sheet's rates",
                                false, 1, "X", line);
  TCLAP::ValueArg<std::string> report("", "report", "JSON report to write",
                                      false, "", "FILE", line);
  line.parse(argc, argv);
  LoadOptions options{.watches = watches.getValue(),
                      .steady_callers = steady.getValue(),
                      .requests_per_second = rate.getValue(),
                      .uploads = uploads.getValue(),
                      .upload_bytes = upload_bytes.getValue(),
                      .duration = ToMilliseconds(seconds.getValue()),
                      .deadline = milliseconds(deadline.getValue()),
                      .seed = seed.getValue(),
                      .sheet = sheet.getValue(),
                      .day = day.getValue(),
                      .scale = scale.getValue(),
                      .report = report.getValue()};
  for (const auto& it : services.getValue()) {
    options.services.push_back(ParseService(it));
  }
  Check(options);
  return options;
}

}  // namespace hawthornbank::load
