#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

namespace hawthornbank::load {

/// What the callers of a service do. An empty path is not used.
struct Workload {
  std::string service;
  std::string watch_path;    ///< Observed board or feed.
  std::string request_path;  ///< Non-idempotent request.
  std::string upload_path;   ///< Block-wise upload.
};

/// A service under load.
struct ServiceUnderLoad {
  Workload workload;
  Endpoint address;
};

/// Settings of a run, from the command line.
struct LoadOptions {
  std::vector<ServiceUnderLoad> services;
  std::uint32_t watches = 0;         ///< Boards and feeds held open.
  std::uint32_t steady_callers = 0;  ///< Send each second on a flow they keep.
  double requests_per_second = 0;    ///< Over all services.
  std::uint32_t uploads = 0;         ///< Expected number in the run.
  std::size_t upload_bytes = 0;
  std::chrono::milliseconds duration{0};
  std::chrono::milliseconds deadline{0};  ///< Of each request.
  std::uint64_t seed = 1;
  std::string sheet;   ///< Path of a sheet whose day sets the rates, or empty.
  std::string day;     ///< Day of the sheet; the run stands for its 24 hours.
  double scale = 1;    ///< Factor on the sheet's rates.
  std::string report;  ///< Path of the JSON report, or empty.
};

/// Parses the command line; on --help or --version prints and exits.
/// @param argc Count of arguments.
/// @param argv Arguments.
/// @return The settings.
/// @throws Error kInvalidSettings when a value is wrong.
auto ParseOptions(int argc, char** argv) -> LoadOptions;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_
