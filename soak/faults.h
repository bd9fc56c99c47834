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

/// What happens.
enum class FaultKind : std::uint8_t {
  kKillBalancer,
  kKillAgent,
  kKillAllBalancers,
  kStopBalancer,    ///< SIGTERM; it starts again when it has ended.
  kStopAgent,       ///< The same beside a target that lives on.
  kFreezeBalancer,  ///< SIGSTOP, then SIGCONT.
  kFreezeAgent,
  kReload,      ///< New settings; SIGHUP for every other process.
  kStoreReset,  ///< The store refuses everybody.
  kStoreSilent,
  kStoreBusy,
  kStoreSlow,
  kStoreNoAnswers,     ///< It runs calls; the answers are lost.
  kStoreLapse,         ///< Entries of the system's own kinds vanish.
  kStoreCut,           ///< One process can't reach the store.
  kSilentConnections,  ///< Open connections to the store go silent for good.
  kTargetCrash,        ///< Dark for a while, then a new start.
  kTargetReplace,      ///< Drains, ends, and a new one starts.
  kTargetReuse,        ///< Ends; its address goes to the other service.
  kTargetMute,         ///< Takes packets and answers none.
  kLoss,               ///< Packets between callers and balancers are lost.
  kConfigure,
  kCount,
};

/// Number of kinds.
inline constexpr auto kFaultKindCount =
    static_cast<std::size_t>(FaultKind::kCount);

/// @param kind A kind.
/// @return Its name in reports.
auto ToString(FaultKind kind) -> std::string_view;

/// A fault.
struct Fault {
  FaultKind kind = FaultKind::kConfigure;
  Duration at{};  ///< Since the start of the series.
  Duration lasts{};
  std::size_t subject = 0;  ///< Which of the processes or targets.
};

/// Draws a series. Faults overlap and come again.
/// @param seed Chooses all of it.
/// @param length Length of the series.
/// @return The faults by their time.
auto PlanFaults(std::uint64_t seed, Duration length) -> std::vector<Fault>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_FAULTS_H_
