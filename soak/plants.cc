#include "soak/plants.h"

#include <array>

namespace hawthornbank::soak {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Plant::kCount)>
    kNames = {"MIXED-answer", "MIXED-bytes",     "UNASKED-bytes",
              "ROUTE-target", "DRAIN-draining",  "DRAIN-gone",
              "CONFIG-bound", "CONFIG-regress",  "CONFIG-dropped",
              "EVAC-zone",    "RECOVER-silence", "FLOW-reset",
              "FLOW-strays",  "EXIT-agent"};

}  // namespace

auto ToString(Plant plant) -> std::string {
  return kNames.at(static_cast<std::size_t>(plant));
}

auto GetBrokenRule(Plant plant) -> std::string {
  const std::string name = ToString(plant);
  return name.substr(0, name.find('-'));
}

auto FindPlants(const std::string& name) -> std::set<Plant> {
  std::set<Plant> found;
  for (const auto it : GetAllPlants()) {
    if (name == ToString(it) || name == GetBrokenRule(it)) {
      found.insert(it);
    }
  }
  return found;
}

auto GetAllPlants() -> std::vector<Plant> {
  std::vector<Plant> plants;
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    plants.push_back(static_cast<Plant>(n));
  }
  return plants;
}

}  // namespace hawthornbank::soak
