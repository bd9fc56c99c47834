#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

namespace hawthornbank::load {

/// Resources that the callers of a service use. An empty path means that the
/// service has no such resource.
struct Workload {
  std::string service;
  std::string watch_path;    ///< Board or feed to observe.
  std::string request_path;  ///< Resource for non-idempotent requests.
  std::string upload_path;   ///< Resource for block-wise uploads.
};

/// A service that receives load: its workload and its public address.
struct ServiceUnderLoad {
  Workload workload;
  Endpoint address;
};

/// Settings of a run, from the command line.
struct LoadOptions {
  std::vector<ServiceUnderLoad> services;
  std::uint32_t watches = 0;  ///< Number of observations to keep open.
  /// Number of callers that each send one request per second on one flow.
  std::uint32_t steady_callers = 0;
  double requests_per_second = 0;  ///< Total rate over all services.
  std::uint32_t uploads = 0;       ///< Expected number of uploads.
  std::size_t upload_bytes = 0;
  std::chrono::milliseconds duration{0};
  std::chrono::milliseconds deadline{0};  ///< Time limit per request.
  std::uint64_t seed = 1;
  std::string sheet_path;   ///< Path of a planners' sheet with rates, or empty.
  std::string day;          ///< Day whose 24 hours are compressed into the run.
  double scale = 1;         ///< Factor that multiplies the sheet's rates.
  std::string report_path;  ///< Path of the JSON report, or empty.
};

/// Parses and checks the command line. Creates a missing report file.
/// @param argc Number of arguments.
/// @param argv Arguments.
/// @return The settings.
/// @throws Error kInvalidSettings when an option is malformed, out of range or
///     contradicts another option, or when the report file can't be written.
/// @throws TCLAP::ExitException after --help and --version.
auto ParseLoadOptions(int argc, char** argv) -> LoadOptions;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_OPTIONS_H_
