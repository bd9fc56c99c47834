#ifndef HAWTHORNBANK_SOAK_FAULTS_H_
#define HAWTHORNBANK_SOAK_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// The series of faults of a soak, drawn from a seed.
namespace hawthornbank::soak {

/// Kind of a fault.
enum class FaultKind : std::uint8_t {
  kKillBalancer,
  kKillAgent,
  kKillAllBalancers,
  kStopBalancer,    ///< SIGTERM; the balancer restarts after its exit.
  kStopAgent,       ///< SIGTERM; the target of the agent stays alive.
  kFreezeBalancer,  ///< SIGSTOP, then SIGCONT.
  kFreezeAgent,
  kReload,      ///< New settings; SIGHUP for every other process.
  kStoreReset,  ///< The store resets all connections.
  kStoreSilent,
  kStoreBusy,
  kStoreSlow,
  kStoreNoAnswers,     ///< The store executes calls; answers are lost.
  kStoreLapse,         ///< The load balancer's own objects are erased.
  kStoreCut,           ///< The store is unreachable for one process.
  kSilentConnections,  ///< Open store connections lose all further bytes.
  kTargetCrash,        ///< The target is down for a while, then restarts.
  kTargetReplace,      ///< The target drains, shuts down and restarts.
  kTargetReuse,        ///< The target ends; another service gets its address.
  kTargetMute,         ///< The target receives packets but answers none.
  kLoss,               ///< Packets from callers to balancers are lost.
  kConfigure,          ///< The store accepts a new configuration.
  kCount,
};

/// Number of fault kinds.
inline constexpr auto kFaultKindCount =
    static_cast<std::size_t>(FaultKind::kCount);

/// @param kind A fault kind.
/// @return Name of the kind in reports.
auto ToString(FaultKind kind) -> std::string_view;

/// A fault of the series.
struct Fault {
  FaultKind kind = FaultKind::kConfigure;
  Duration start_offset{};  ///< Offset from the start of the series.
  Duration duration{};
  /// Index of the process or target, taken modulo their number.
  std::size_t subject_index = 0;
};

/// Draws a random series of faults. Faults may overlap and repeat.
/// @param seed Seed of the random number generator.
/// @param length Length of the series.
/// @return The faults, ordered by start.
auto GenerateFaultSeries(std::uint64_t seed, Duration length)
    -> std::vector<Fault>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_FAULTS_H_
