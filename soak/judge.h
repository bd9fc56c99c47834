#ifndef HAWTHORNBANK_SOAK_JUDGE_H_
#define HAWTHORNBANK_SOAK_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Checks what callers and targets see, while a soak runs. It knows nothing of
/// the system's insides but the version of the routes, by its metrics.
namespace hawthornbank::soak {

/// Time after a disturbance from which bounds hold again.
inline constexpr Duration kCalmTime = std::chrono::seconds{4};
/// Time for an accepted configuration to be in force.
inline constexpr Duration kPropagation = std::chrono::seconds{3};
/// Time after the acknowledgement of a drain in which openings may still come.
inline constexpr Duration kDrainTime = std::chrono::seconds{3};
/// Requests of a quiet end that are served at least, as a share.
inline constexpr double kServedAtLeast = 0.99;

/// A broken rule.
struct Violation {
  std::string rule;
  std::string detail;
  TimePoint at{};
};

/// What a subject (a process, a target, the store) went through.
struct Disturbance {
  TimePoint unplanned{};  ///< Last moment of a kill, a freeze, a cut.
  TimePoint any{};        ///< The same, with planned stops.
};

/// A request, one attempt of a caller.
struct RequestRecord {
  std::string service;
  int runs = 0;
};

/// A reset that a caller got on an open flow.
struct ResetRecord {
  std::uint16_t port = 0;           ///< The caller's.
  bool target_holds_flow = false;   ///< The flow's target lives and has it.
  std::string agent;                ///< Subject beside the target.
  std::vector<std::string> takers;  ///< Balancers that took its packets lately.
};

/// All checks and what they found.
struct Judge {
  TimePoint started{};
  std::map<std::string, Disturbance> disturbances;
  std::map<std::uint64_t, RequestRecord> requests;
  std::map<std::string, std::uint64_t> versions;  ///< Last seen, by process.
  std::map<std::uint64_t, TimePoint> accepted;    ///< Versions of the store.
  std::vector<Violation> violations;
  std::uint64_t served = 0;
  std::uint64_t failed = 0;
  std::uint64_t quiet_served = 0;
  std::uint64_t quiet_failed = 0;
  std::uint64_t resets_excused = 0;
};

/// Notes a disturbance up to an instant, which may be ahead.
auto Disturb(Judge& judge,
             const std::string& subject,
             bool planned,
             TimePoint until) -> void;

/// @return Whether a subject was calm for kCalmTime.
auto IsCalm(const Judge& judge,
            const std::string& subject,
            bool planned_counts,
            TimePoint now) -> bool;

/// Notes a request that a caller sends for the first time.
auto OnRequestSent(Judge& judge,
                   std::uint64_t request,
                   const std::string& service) -> void;

/// Notes that a target runs a request.
auto OnRequestRun(Judge& judge,
                  std::uint64_t request,
                  const std::string& service,
                  TimePoint now) -> void;

/// Notes an answer on a flow that waits for the answer to `asked`.
auto OnAnswer(Judge& judge,
              std::uint64_t asked,
              std::uint64_t answered,
              TimePoint now) -> void;

/// Notes a reset that no target wrote.
auto OnReset(Judge& judge, const ResetRecord& reset, TimePoint now) -> void;

/// Notes an opening at a target that drains.
/// @param since When its word of it was acknowledged.
auto OnOpeningWhileDraining(Judge& judge,
                            const std::string& agent,
                            TimePoint since,
                            TimePoint now) -> void;

/// Notes the version that a process has in force.
/// @param process The process; its name is new with each start.
/// @param subject The same for all its starts.
auto OnVersion(Judge& judge,
               const std::string& process,
               const std::string& subject,
               std::uint64_t version,
               TimePoint now) -> void;

/// Notes that a process ended.
/// @param expected Whether it was told to, or killed.
/// @param code Its exit code, or minus a signal's number.
auto OnEnd(Judge& judge,
           const std::string& process,
           bool expected,
           int code,
           TimePoint now) -> void;

/// Notes how a request ended.
/// @param quiet Whether it was sent in the quiet end.
auto OnOutcome(Judge& judge, bool served, bool quiet) -> void;

/// Checks the quiet end.
auto CheckEnd(Judge& judge, TimePoint now) -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_JUDGE_H_
