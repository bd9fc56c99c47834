#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <exception>
#include <iostream>

#include "soak/world.h"

/// @file
/// Runs real processes under a seeded series of faults and checks what callers
/// and targets see.

namespace {

using namespace hawthornbank::soak;

constexpr int kBroken = 1;
constexpr int kWrongUse = 2;

// A network of 127.0.0.0/8 for each process.
auto NetworkOf(int process) -> std::uint32_t {
  constexpr std::uint32_t kLoopback = 0x7F000000;
  constexpr std::uint32_t kNetworks = 65'000;
  constexpr std::uint32_t kAddresses = 256;
  return kLoopback +
         (1 + static_cast<std::uint32_t>(process) % kNetworks) * kAddresses;
}

auto Report(World& world, const SoakOptions& options, const Judge& judge)
    -> int {
  std::cout << fmt::format(
      "seed {}: {} requests served, {} not; quiet end {} served, {} not; {} "
      "resets excused; {} faults, {} violations\n",
      options.seed, judge.served, judge.failed, judge.quiet_served,
      judge.quiet_failed, judge.resets_excused, world.History().size(),
      judge.violations.size());
  if (judge.violations.empty() && !options.verbose) {
    return 0;
  }
  for (const auto& it : world.History()) {
    std::cout << "  " << it << '\n';
  }
  for (const auto& it : judge.violations) {
    std::cout << fmt::format(
        "  violation: {}: {} at {:.2f}\n", it.rule, it.detail,
        std::chrono::duration<double>(it.at - judge.started).count());
  }
  for (const auto& it : world.KeepLogs()) {
    std::cout << "  log kept: " << it << '\n';
  }
  return judge.violations.empty() ? 0 : kBroken;
}

auto Run(int argc, char** argv) -> int {
  TCLAP::CmdLine command(
      "Runs hawthornnode processes on loopback between stand-ins under a "
      "seeded series of faults. Exit codes: 0 all rules kept, 1 one broken, 2 "
      "wrong use.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Chooses the faults", false,
                                      1, "N", command);
  TCLAP::ValueArg<double> seconds("", "seconds", "Length of the series", false,
                                  20, "S", command);
  TCLAP::ValueArg<std::size_t> balancers("", "balancers", "Balancers", false, 3,
                                         "N", command);
  TCLAP::ValueArg<std::size_t> targets("", "targets", "Targets", false, 5, "N",
                                       command);
  TCLAP::SwitchArg verbose("", "verbose", "List faults, keep logs", command);
  command.parse(argc, argv);
  const SoakOptions options{
      .program = HAWTHORNNODE,
      .seed = seed.getValue(),
      .length = std::chrono::milliseconds{static_cast<std::int64_t>(
          seconds.getValue() * 1000)},
      .balancers = balancers.getValue(),
      .targets = targets.getValue(),
      .network = NetworkOf(::getpid()),
      .verbose = verbose.getValue()};
  World world(options);
  return Report(world, options, world.Run());
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return kWrongUse;
  }
}
