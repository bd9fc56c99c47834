#include "options.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include "hawthornbank/error.h"
#include "hawthornbank/plan.h"
#include "transport/command_line.h"
#include "transport/version.h"

namespace hawthornbank::load {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDefaultUploadBytes = 64UL * 1024;

auto GetKnownWorkloads() -> const std::array<Workload, 4>& {
  static const std::array<Workload, 4> workloads = {{
      {.service = "fitquote", .watch_path = "board", .request_path = "quote"},
      {.service = "planstore", .upload_path = "plan"},
      {.service = "plan-core", .watch_path = "feed", .request_path = "permit"},
      {.service = "docs-in", .upload_path = "upload"},
  }};
  return workloads;
}

/// Parses a service option such as "fitquote=127.0.0.1:5683".
auto ParseServiceOption(const std::string& text) -> ServiceUnderLoad {
  const auto separator = text.find('=');
  const auto name = text.substr(0, separator);
  const auto it = std::find_if(
      GetKnownWorkloads().begin(), GetKnownWorkloads().end(),
      [&name](const Workload& workload) { return workload.service == name; });
  if (separator == std::string::npos || it == GetKnownWorkloads().end()) {
    throw Error(ErrorKind::kInvalidSettings,
                "--service '" + text +
                    "' is not SERVICE=ADDRESS:PORT with one of fitquote, "
                    "planstore, plan-core, docs-in");
  }
  return {.workload = *it,
          .address = transport::ReadEndpointOption(text.substr(separator + 1),
                                                   "service " + name)};
}

auto ToMilliseconds(double seconds) -> milliseconds {
  constexpr double kMillisecondsPerSecond = 1000;
  return milliseconds(
      static_cast<std::int64_t>(seconds * kMillisecondsPerSecond));
}

[[noreturn]] auto ThrowInvalidSettings(const std::string& reason) -> void {
  throw Error(ErrorKind::kInvalidSettings, reason);
}

auto CheckOptionRange(const char* option, double value, double min, double max)
    -> void {
  if (value < min || value > max) {
    std::ostringstream text;
    text << option << ": " << value << " is out of range: " << min << " to "
         << max;
    ThrowInvalidSettings(text.str());
  }
}

auto RejectRepeatedServices(const LoadOptions& options) -> void {
  std::set<std::string> seen;
  for (const auto& it : options.services) {
    if (!seen.insert(it.workload.service).second) {
      ThrowInvalidSettings("--service " + it.workload.service +
                           " is given twice");
    }
  }
}

auto CheckRateOptions(const LoadOptions& options) -> void {
  const bool has_rates = options.requests_per_second > 0 || options.uploads > 0;
  if (!options.sheet_path.empty() && has_rates) {
    ThrowInvalidSettings(
        "--sheet sets the rates; leave out --rate and --uploads");
  }
  if (options.sheet_path.empty() && !has_rates && options.watches == 0) {
    ThrowInvalidSettings(
        "nothing to do: give --watches, --rate, --uploads or --sheet");
  }
}

auto CheckDayOption(const std::string& day) -> void {
  if (day == "daily") {
    return;
  }
  try {
    ParseDate(day);
  } catch (const Error& error) {
    ThrowInvalidSettings(std::string("--day: ") + error.what());
  }
}

/// Opens the report file, which creates a missing file, so that an unwritable
/// path is reported before the run instead of after the run.
auto CheckReportIsWritable(const std::string& path) -> void {
  if (!path.empty() && !std::ofstream(path, std::ios::app)) {
    ThrowInvalidSettings("--report: can't write '" + path + "'");
  }
}

auto CheckLoadOptions(const LoadOptions& options, double seconds) -> void {
  constexpr double kMaxSeconds = 604'800;
  constexpr double kMaxRate = 1e6;
  constexpr double kMaxWatches = 1e5;
  constexpr double kMaxUploadBytes = 16.0 * 1024 * 1024;
  constexpr double kMaxDeadlineMilliseconds = 3'600'000;
  constexpr double kMinPositiveValue = 0.001;
  CheckOptionRange("--seconds", seconds, kMinPositiveValue, kMaxSeconds);
  CheckOptionRange("--rate", options.requests_per_second, 0, kMaxRate);
  CheckOptionRange("--watches", options.watches, 0, kMaxWatches);
  CheckOptionRange("--upload-bytes", static_cast<double>(options.upload_bytes),
                   1, kMaxUploadBytes);
  CheckOptionRange("--deadline-ms",
                   static_cast<double>(options.deadline.count()), 1,
                   kMaxDeadlineMilliseconds);
  CheckOptionRange("--scale", options.scale, kMinPositiveValue, kMaxRate);
  RejectRepeatedServices(options);
  CheckRateOptions(options);
  CheckDayOption(options.day);
  CheckReportIsWritable(options.report_path);
}

}  // namespace

auto ParseLoadOptions(int argc, char** argv) -> LoadOptions {
  TCLAP::CmdLine line(
      "Callers of both workloads: board watches, requests, uploads. Example: "
      "hawthornload --service fitquote=127.0.0.1:5683 --watches 20 --rate 50 "
      "--seconds 30",
      ' ', transport::GetVersion());
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
                                            kDefaultUploadBytes, "BYTES", line);
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
  transport::ParseCommandLine(
      line, transport::ConvertArgumentsToWords("hawthornload", argc, argv));
  LoadOptions options{.watches = watches.getValue(),
                      .steady_callers = steady.getValue(),
                      .requests_per_second = rate.getValue(),
                      .uploads = uploads.getValue(),
                      .upload_bytes = upload_bytes.getValue(),
                      .duration = ToMilliseconds(seconds.getValue()),
                      .deadline = milliseconds(deadline.getValue()),
                      .seed = seed.getValue(),
                      .sheet_path = sheet.getValue(),
                      .day = day.getValue(),
                      .scale = scale.getValue(),
                      .report_path = report.getValue()};
  for (const auto& it : services.getValue()) {
    options.services.push_back(ParseServiceOption(it));
  }
  CheckLoadOptions(options, seconds.getValue());
  return options;
}

}  // namespace hawthornbank::load
