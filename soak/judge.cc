#include "soak/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hawthornbank::soak {
namespace {

constexpr const char* kStore = "store";

auto Report(Judge& judge, std::string rule, std::string detail, TimePoint now)
    -> void {
  judge.violations.push_back(Violation{
      .rule = std::move(rule), .detail = std::move(detail), .at = now});
}

}  // namespace

auto Disturb(Judge& judge,
             const std::string& subject,
             bool planned,
             TimePoint until) -> void {
  Disturbance& it = judge.disturbances[subject];
  it.any = std::max(it.any, until);
  if (!planned) {
    it.unplanned = std::max(it.unplanned, until);
  }
}

auto IsCalm(const Judge& judge,
            const std::string& subject,
            bool planned_counts,
            TimePoint now) -> bool {
  const auto it = judge.disturbances.find(subject);
  if (it == judge.disturbances.end()) {
    return true;
  }
  const TimePoint last = planned_counts ? it->second.any : it->second.unplanned;
  return now - last >= kCalmTime;
}

auto OnRequestSent(Judge& judge,
                   std::uint64_t request,
                   const std::string& service) -> void {
  judge.requests[request].service = service;
}

auto OnRequestRun(Judge& judge,
                  std::uint64_t request,
                  const std::string& service,
                  TimePoint now) -> void {
  const auto it = judge.requests.find(request);
  if (it == judge.requests.end()) {
    Report(judge, "unasked", fmt::format("request {}", request), now);
    return;
  }
  if (it->second.service != service) {
    Report(judge, "wrong service",
           fmt::format("request {} of {} at {}", request, it->second.service,
                       service),
           now);
  }
  if (++it->second.runs > 1) {
    Report(judge, "at most once",
           fmt::format("request {} ran {} times", request, it->second.runs),
           now);
  }
}

auto OnAnswer(Judge& judge,
              std::uint64_t asked,
              std::uint64_t answered,
              TimePoint now) -> void {
  if (asked != answered) {
    Report(judge, "mixed answers",
           fmt::format("asked {}, answered {}", asked, answered), now);
  }
}

auto OnReset(Judge& judge, const ResetRecord& reset, TimePoint now) -> void {
  const bool calm = IsCalm(judge, reset.agent, false, now) &&
                    std::all_of(reset.takers.begin(), reset.takers.end(),
                                [&](const std::string& it) {
                                  return IsCalm(judge, it, false, now);
                                });
  if (!reset.target_holds_flow || !calm) {
    ++judge.resets_excused;
    return;
  }
  Report(judge, "broken flow",
         fmt::format("port {} beside {}", reset.port, reset.agent), now);
}

auto OnOpeningWhileDraining(Judge& judge,
                            const std::string& agent,
                            TimePoint since,
                            TimePoint now) -> void {
  if (now - since > kDrainTime && IsCalm(judge, agent, true, now)) {
    Report(judge, "drain", fmt::format("opening beside {}", agent), now);
  }
}

auto OnVersion(Judge& judge,
               const std::string& process,
               const std::string& subject,
               std::uint64_t version,
               TimePoint now) -> void {
  std::uint64_t& last = judge.versions[process];
  if (version < last) {
    Report(judge, "version back",
           fmt::format("{}: {} after {}", process, version, last), now);
  }
  last = version;
  if (!IsCalm(judge, subject, true, now) || !IsCalm(judge, kStore, true, now)) {
    return;
  }
  for (const auto& [accepted, at] : judge.accepted) {
    if (accepted > version && now - at > kPropagation) {
      Report(judge, "not in force",
             fmt::format("{}: {}, accepted was {}", process, version, accepted),
             now);
      return;
    }
  }
}

auto OnEnd(Judge& judge,
           const std::string& process,
           bool expected,
           int code,
           TimePoint now) -> void {
  if (!expected) {
    Report(judge, "end of its own", fmt::format("{}: {}", process, code), now);
  }
}

auto OnOutcome(Judge& judge, bool served, bool quiet) -> void {
  ++(served ? judge.served : judge.failed);
  if (quiet) {
    ++(served ? judge.quiet_served : judge.quiet_failed);
  }
}

auto CheckEnd(Judge& judge, TimePoint now) -> void {
  const auto served = static_cast<double>(judge.quiet_served);
  const auto all = served + static_cast<double>(judge.quiet_failed);
  if (all == 0 || served < kServedAtLeast * all) {
    Report(judge, "recovery",
           fmt::format("{} of {} served in the quiet end", judge.quiet_served,
                       all),
           now);
  }
}

}  // namespace hawthornbank::soak
