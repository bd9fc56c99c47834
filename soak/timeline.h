#ifndef HAWTHORNBANK_SOAK_TIMELINE_H_
#define HAWTHORNBANK_SOAK_TIMELINE_H_

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <ostream>
#include <string>
#include <vector>

#include "soak/caller_packets.h"
#include "soak/judge.h"

/// @file
/// Timelines of violations: what the callers, the balancers, the agents and the
/// soak itself did about the flow of a violation.
///
/// The soak's part is written as a log file of its own, in the form of the
/// nodes' logs, so that `hawthornctl explain` shows the same from the kept
/// files.
namespace hawthornbank::soak {

/// Maximum number of timelines that are printed.
inline constexpr std::size_t kMaxPrintedTimelines = 10;

/// What the soak knows of its own.
struct SoakRecord {
  const InvariantChecker& checker;
  const CallerPackets& packets;
  /// Faults and other events, each with the seconds since the start.
  const std::vector<std::string>& events;
  /// Unix time at the zero of the monotonic clock.
  std::chrono::milliseconds clock_offset{};
};

/// Writes the packets of the violations' flows, all events and all violations.
/// @param path The file to write.
/// @param record The soak's record.
/// @throws Error kInternal if the file can't be written.
auto WriteSoakLog(const std::filesystem::path& path, const SoakRecord& record)
    -> void;

/// Prints a timeline for each flow and rule with a violation, the first
/// kMaxPrintedTimelines of them, and the number of the others.
/// @param out Receives the text.
/// @param checker The violations.
/// @param files Logs of all processes and the soak's own.
auto PrintTimelines(std::ostream& out,
                    const InvariantChecker& checker,
                    const std::vector<std::filesystem::path>& files) -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_TIMELINE_H_
