#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <filesystem>
#include <iostream>

#include "soak/timeline.h"
#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Runs hawthornnode processes under a series of faults that a seed determines,
/// and checks what callers and targets observe.

namespace {

using namespace hawthornbank::soak;

constexpr int kViolationsFound = 1;
constexpr int kUsageError = 2;
constexpr std::size_t kMaxZones = 26;
constexpr const char* kNoPlant = "none";

// Returns the first address of a /24 network in 127.0.0.0/8. The process id
// selects the network, so that concurrent soaks use different networks.
auto ChooseLoopbackNetwork(int process_id) -> std::uint32_t {
  constexpr std::uint32_t kLoopback = 0x7F000000;
  constexpr std::uint32_t kNetworks = 65'000;
  constexpr std::uint32_t kAddresses = 256;
  return kLoopback +
         (1 + static_cast<std::uint32_t>(process_id) % kNetworks) * kAddresses;
}

// Returns the Unix time at the zero of the monotonic clock.
auto ComputeClockOffset() -> std::chrono::milliseconds {
  namespace transport = hawthornbank::transport;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      transport::GetWallTime().time_since_epoch() -
      transport::GetMonotonicTime().time_since_epoch());
}

auto KeepLogsAndPrintTimelines(SoakEnvironment& environment,
                               const SoakOptions& options,
                               const InvariantChecker& checker) -> void {
  std::vector<std::filesystem::path> files;
  for (const auto& it : environment.KeepLogFiles()) {
    files.emplace_back(it);
  }
  files.push_back(
      std::filesystem::temp_directory_path() /
      fmt::format("soak-{}-callers-{}.log", options.seed, ::getpid()));
  WriteSoakLog(files.back(), {.checker = checker,
                              .packets = environment.caller_packets(),
                              .events = environment.GetEventHistory(),
                              .clock_offset = ComputeClockOffset()});
  for (const auto& it : files) {
    std::cout << "  log kept: " << it.string() << '\n';
  }
  PrintTimelines(std::cout, checker, files);
}

auto PrintReportAndKeepLogs(SoakEnvironment& environment,
                            const SoakOptions& options,
                            const InvariantChecker& checker) -> int {
  std::cout << fmt::format(
      "seed {}: {} requests served, {} not; final phase {} served, {} not; "
      "{} resets excused; {} events, {} violations, ROUTE {} of {} requests, "
      "{} addresses handed over\n",
      options.seed, checker.served, checker.failed, checker.final_served,
      checker.final_failed, checker.excused_resets,
      environment.GetEventHistory().size(), checker.violations.size(),
      CountViolations(checker, kRouteRule), checker.requests.size(),
      environment.hand_over_count());
  if (checker.violations.empty() && !options.verbose) {
    return 0;
  }
  for (const auto& it : environment.GetEventHistory()) {
    std::cout << "  " << it << '\n';
  }
  std::cout << fmt::format("  rules broken: {}\n",
                           fmt::join(GetViolatedInvariants(checker), ", "));
  for (const auto& it : checker.violations) {
    std::cout << fmt::format(
        "  violation: {}: {} at {:.2f}\n", it.invariant, it.detail,
        std::chrono::duration<double>(it.at - checker.started).count());
  }
  if (options.plants.empty() || options.verbose) {
    KeepLogsAndPrintTimelines(environment, options, checker);
  }
  return checker.violations.empty() ? 0 : kViolationsFound;
}

// Returns the events that the options choose: all with `reuse`, or those named
// by `only`.
// Throws CmdLineParseException for an unknown name.
auto ChooseReuse(bool all, const std::vector<std::string>& only, int late_ms)
    -> ReuseOptions {
  ReuseOptions options;
  if (all) {
    options.kinds = GetAllReuseKinds();
  }
  for (const auto& it : only) {
    const auto kind = ParseReuseKind(it);
    if (it == "hand_over") {
      options.kinds.merge(GetHandOverKinds());
    } else if (kind.has_value()) {
      options.kinds.insert(*kind);
    } else if (!ParseRestartKind(it).has_value()) {
      throw TCLAP::CmdLineParseException("unknown kind", it);
    }
  }
  if (late_ms >= 0) {
    options.agent_delay = std::chrono::milliseconds{late_ms};
  }
  return options;
}

// Returns the planted faults of the given names.
// Throws CmdLineParseException for an unknown name.
auto ChoosePlants(const std::vector<std::string>& names) -> std::set<Plant> {
  std::set<Plant> plants;
  for (const auto& it : names) {
    const auto found = FindPlants(it);
    if (found.empty() && it != kNoPlant) {
      throw TCLAP::CmdLineParseException("unknown rule or planted fault", it);
    }
    plants.insert(found.begin(), found.end());
  }
  return plants;
}

// Adds what planted faults need.
auto PreparePlants(SoakOptions& options) -> void {
  if (options.plants.empty()) {
    return;
  }
  options.has_operator_events = false;
  options.has_route_changes =
      std::any_of(options.plants.begin(), options.plants.end(),
                  [](Plant it) { return GetBrokenRule(it) == kConfigRule; });
  if (options.plants.contains(Plant::kEvacZone)) {
    options.zones = std::max<std::size_t>(options.zones, 2);
  }
}

// Returns the kinds of events around restarts that the options choose: all
// with `restarts`, and those named by `only`.
auto ChooseRestarts(bool all, const std::vector<std::string>& only)
    -> std::set<RestartKind> {
  std::set<RestartKind> kinds;
  if (all) {
    kinds = GetAllRestartKinds();
  }
  for (const auto& it : only) {
    const auto kind = ParseRestartKind(it);
    if (kind.has_value()) {
      kinds.insert(*kind);
    }
  }
  return kinds;
}

// Arguments of the command line.
struct Arguments {
  TCLAP::CmdLine command{
      "Runs hawthornnode processes on loopback between stand-ins under a "
      "seeded series of faults. Exit codes: 0 no violations, 1 violations, 2 "
      "wrong use.",
      ' ', "0.1.0"};
  TCLAP::ValueArg<std::uint64_t> seed{
      "", "seed", "Chooses the faults", false, 1, "N", command};
  TCLAP::ValueArg<double> seconds{
      "", "seconds", "Length of the series", false, 20, "S", command};
  TCLAP::ValueArg<std::size_t> balancers{"", "balancers", "Balancers", false,
                                         3,  "N",         command};
  TCLAP::ValueArg<std::size_t> targets{"", "targets", "Targets", false,
                                       5,  "N",       command};
  TCLAP::SwitchArg verbose{"", "verbose", "List faults, keep logs", command};
  TCLAP::SwitchArg reuse{"", "reuse", "Use ports and addresses again too",
                         command};
  TCLAP::SwitchArg restarts{"", "restarts",
                            "Restart with stepped clocks, late messages, "
                            "other idle timeouts and routes too",
                            command};
  TCLAP::MultiArg<std::string> only{
      "",
      "only",
      "Only events of this kind, without the series of faults: reuse_ports, "
      "late_copies (with reuse_ports), "
      "hand_over (any way), together, early_agent, late_agent, kept_agent, "
      "kept_agent_sighup, drained, late_heartbeat, suspended_balancer, "
      "killed_agent, late_packets, step_clock, earlier_heartbeat, "
      "heartbeat_at_restart, "
      "late_deregistration, unheard_start, deregistration_at_stop, "
      "idle_timeout, replace_most, drop_route, "
      "move_route",
      false,
      "KIND",
      command};
  TCLAP::ValueArg<int> late_ms{
      "",
      "late-ms",
      "Time for which former agents outlive their target's "
      "successor, with late_agent and drained",
      false,
      -1,
      "MS",
      command};
  TCLAP::ValueArg<int> heartbeat_ms{"",
                                    "heartbeat-ms",
                                    "Time between two heartbeats of a target",
                                    false,
                                    200,
                                    "MS",
                                    command};
  TCLAP::ValueArg<std::size_t> zones{
      "",
      "zones",
      "Zones of balancers and targets; several are taken out of service in "
      "turn",
      false,
      1,
      "N",
      command};
  TCLAP::SwitchArg route_changes{
      "", "route-changes", "Add routes that change their service", command};
  TCLAP::SwitchArg scale_in{
      "", "scale-in", "Let targets drain, leave and come back later", command};
  TCLAP::ValueArg<std::size_t> other_entries{
      "",
      "other-entries",
      "Entries of another writer beside the operator's in the store, which "
      "then lists ten a page",
      false,
      0,
      "N",
      command};
  TCLAP::MultiArg<std::string> plants{
      "",
      "plant",
      "Plant a fault that breaks this rule, without other faults: MIXED, "
      "UNASKED, ROUTE, DRAIN, CONFIG, EVAC, RECOVER, FLOW, EXIT or one of "
      "their faults, such as DRAIN-gone; none: no faults at all",
      false,
      "RULE",
      command};
  TCLAP::ValueArg<std::string> program{
      "",     "program", "Path of hawthornnode", false, HAWTHORNNODE,
      "PATH", command};
  TCLAP::ValueArg<std::string> clock_program{
      "",
      "clock-program",
      "Path of hawthornnode linked with clock_standin.cc, for processes whose "
      "clocks step; needed with --program",
      false,
      SOAK_CLOCKED_NODE,
      "PATH",
      command};
};

// Returns the options that the command line chooses.
// Throws CmdLineParseException for values that can't be used.
auto ParseOptions(int argc, char** argv) -> SoakOptions {
  Arguments arguments;
  arguments.command.parse(argc, argv);
  const std::size_t zones = arguments.zones.getValue();
  if (zones < 1 || zones > kMaxZones) {
    throw TCLAP::CmdLineParseException("zones must be 1 to 26", "zones");
  }
  SoakOptions options{
      .program = arguments.program.getValue(),
      .seed = arguments.seed.getValue(),
      .length = std::chrono::milliseconds{static_cast<std::int64_t>(
          arguments.seconds.getValue() * 1000)},
      .balancers = arguments.balancers.getValue(),
      .zones = zones,
      .targets = arguments.targets.getValue(),
      .network = ChooseLoopbackNetwork(::getpid()),
      .verbose = arguments.verbose.getValue(),
      .has_faults = arguments.only.getValue().empty() &&
                    arguments.plants.getValue().empty(),
      .has_route_changes = arguments.route_changes.getValue(),
      .has_scale_ins = arguments.scale_in.getValue(),
      .other_entries = arguments.other_entries.getValue(),
      .heartbeat_interval =
          std::chrono::milliseconds{arguments.heartbeat_ms.getValue()},
      .reuse =
          ChooseReuse(arguments.reuse.getValue(), arguments.only.getValue(),
                      arguments.late_ms.getValue()),
      .restarts = ChooseRestarts(arguments.restarts.getValue(),
                                 arguments.only.getValue()),
      .clock_program = arguments.clock_program.getValue(),
      .plants = ChoosePlants(arguments.plants.getValue())};
  if (options.restarts.contains(RestartKind::kStepClock) &&
      arguments.program.isSet() && !arguments.clock_program.isSet()) {
    throw TCLAP::CmdLineParseException(
        "needs --clock-program of the same build", "step_clock with --program");
  }
  PreparePlants(options);
  return options;
}

auto RunSoak(int argc, char** argv) -> int {
  const SoakOptions options = ParseOptions(argc, argv);
  SoakEnvironment environment(options);
  return PrintReportAndKeepLogs(environment, options,
                                environment.RunAllPhases());
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return RunSoak(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "soak: " << error.error() << ": " << error.argId() << '\n';
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return kUsageError;
  }
}
