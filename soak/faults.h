#ifndef HAWTHORNBANK_SOAK_FAULTS_H_
#define HAWTHORNBANK_SOAK_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Random series of faults that a soak injects, determined by a seed.
namespace hawthornbank::soak {

/// Kind of a fault.
enum class FaultKind : std::uint8_t {
  kKillBalancer,
  kKillAgent,
  kKillAllBalancers,
  kStopBalancer,    ///< A balancer gets SIGTERM and restarts after the exit.
  kStopAgent,       ///< An agent gets SIGTERM; the agent's target stays alive.
  kFreezeBalancer,  ///< A balancer gets SIGSTOP, then SIGCONT.
  kFreezeAgent,
  kReload,  ///< Settings are written anew; every second process gets SIGHUP.
  kStoreReset,  ///< Open and new connections to the store are reset.
  kStoreSilent,
  kStoreBusy,
  kStoreSlow,
  kStoreNoAnswers,      ///< The store executes calls, but the answers are lost.
  kStoreLapse,          ///< The store loses the load balancer's own objects.
  kStoreCut,            ///< The store is unreachable for one process.
  kSilentConnections,   ///< Connections open to the store lose further bytes.
  kTargetCrash,         ///< A target crashes and restarts after the duration.
  kTargetReplace,       ///< A target drains, then target and agent restart.
  kTargetAddressReuse,  ///< A killed target's address goes to another service.
  kTargetMute,          ///< A target ignores packets but sends heartbeats.
  kPacketLoss,          ///< Some packets from callers to balancers are lost.
  kConfigure,           ///< The store accepts new routes.
  kCount,
};

/// Number of fault kinds.
inline constexpr auto kFaultKindCount =
    static_cast<std::size_t>(FaultKind::kCount);

/// @param kind A fault kind.
/// @return Name of the kind in the soak's report.
auto ToString(FaultKind kind) -> std::string_view;

/// A fault that the soak injects.
struct Fault {
  FaultKind kind = FaultKind::kConfigure;
  Duration start_offset{};  ///< Offset from the start of the series.
  Duration duration{};
  /// Index of the affected process or target, taken modulo the number of
  /// processes or targets.
  std::size_t subject_index = 0;
};

/// Draws a random series of faults. Faults may overlap and repeat.
/// @param seed Seed of the random number generator.
/// @param length Length of the series; all faults start before its end.
/// @return The faults, ordered by start.
auto GenerateFaultSeries(std::uint64_t seed, Duration length)
    -> std::vector<Fault>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_FAULTS_H_
