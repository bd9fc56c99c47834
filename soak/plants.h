#ifndef HAWTHORNBANK_SOAK_PLANTS_H_
#define HAWTHORNBANK_SOAK_PLANTS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// @file
/// Planted faults, each of which breaks one rule to prove that the judge
/// reports the rule. The judge isn't told about them.
namespace hawthornbank::soak {

/// A planted fault.
enum class Plant : std::uint8_t {
  kMixedAnswer,    ///< A target answers with another request's number.
  kMixedBytes,     ///< A caller gets an answer with a changed byte.
  kUnaskedBytes,   ///< A target gets a request with a changed byte.
  kRouteTarget,    ///< Target and agent name another service than the target's.
  kDrainDraining,  ///< A draining target gets openings.
  kDrainGone,      ///< The address of a target that has left gets openings.
  kConfigBound,    ///< Openings reach the service before the last change.
  kConfigRegress,  ///< The same, soon after a balancer handled one as changed.
  kConfigDropped,  ///< Openings reach the service of a dropped route.
  kEvacZone,       ///< Targets of a zone out of service get openings.
  kRecoverSilence,  ///< No packet of a caller arrives after the faults.
  kFlowReset,       ///< Callers get forged resets on open flows.
  kFlowStrays,      ///< The packets of an open flow reach another target.
  kExitAgent,       ///< An agent ends by itself.
  kCount,
};

/// @param plant A planted fault.
/// @return Name in the options: the broken rule, a dash and a word.
auto ToString(Plant plant) -> std::string;

/// @param plant A planted fault.
/// @return Name of the rule that the fault breaks.
auto GetBrokenRule(Plant plant) -> std::string;

/// @param name Name of a planted fault or of a rule.
/// @return The fault of that name or all that break the rule; empty if there is
/// none.
auto FindPlants(const std::string& name) -> std::set<Plant>;

/// @return All planted faults.
auto GetAllPlants() -> std::vector<Plant>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_PLANTS_H_
