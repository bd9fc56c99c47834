#ifndef HAWTHORNBANK_SOAK_CALLER_PORTS_H_
#define HAWTHORNBANK_SOAK_CALLER_PORTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Choice of the callers' ports.
namespace hawthornbank::soak {

/// Ports of flows that are yet to be opened. Ports grow by one with each flow,
/// or are used again some time after their flow has ended.
class CallerPorts {
 public:
  /// @param reuses Whether ports of ended flows are used again.
  /// @param has_late_copies Whether copies of the opening of an ended flow
  /// arrive when its port is in use again.
  /// @param seed Seed of the times after which a port is used again.
  CallerPorts(bool reuses, bool has_late_copies, std::uint64_t seed)
      : random_{seed}, reuses_(reuses), has_late_copies_(has_late_copies) {}

  /// @return A port that no open flow uses.
  auto TakePort(TimePoint now) -> std::uint16_t;

  /// Notes the end of a flow. Its port may be used again some seconds later,
  /// or at once.
  /// @return Whether the port may be used at once and late copies of the flow's
  /// opening follow.
  auto ReleasePort(std::uint16_t port, TimePoint now) -> bool;

  /// Notes a flow.
  /// @return Whether an earlier flow to the same route had the same port.
  auto NoteFlow(std::uint16_t port, Endpoint route) -> bool {
    return !used_[ToString(route)].insert(port).second;
  }

 private:
  Random random_;
  bool reuses_ = false;
  bool has_late_copies_ = false;
  std::uint16_t next_port_ = 10'000;
  /// Ports that may be used again, by the time from which they may be.
  std::multimap<TimePoint, std::uint16_t> released_;
  std::map<std::string, std::set<std::uint16_t>> used_;  ///< By route.
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_CALLER_PORTS_H_
