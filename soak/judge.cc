#include "soak/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hawthornbank::soak {
namespace {

constexpr const char* kStoreSubject = "store";

auto AddViolation(InvariantChecker& checker,
                  std::string invariant,
                  std::string detail,
                  TimePoint now) -> void {
  checker.violations.push_back(Violation{.invariant = std::move(invariant),
                                         .detail = std::move(detail),
                                         .at = now});
}

}  // namespace

auto RecordDisturbance(InvariantChecker& checker,
                       const std::string& subject,
                       bool planned,
                       TimePoint until) -> void {
  Disturbance& it = checker.disturbances[subject];
  it.any = std::max(it.any, until);
  if (!planned) {
    it.unplanned = std::max(it.unplanned, until);
  }
}

auto HasSubjectRecovered(const InvariantChecker& checker,
                         const std::string& subject,
                         bool planned_counts,
                         TimePoint now) -> bool {
  const auto it = checker.disturbances.find(subject);
  if (it == checker.disturbances.end()) {
    return true;
  }
  const TimePoint last = planned_counts ? it->second.any : it->second.unplanned;
  return now - last >= kRecoveryTime;
}

auto OnRouteStored(InvariantChecker& checker,
                   Endpoint route,
                   const std::string& service) -> void {
  checker.services_by_route[ToString(route)].insert(service);
}

auto OnRequestSent(InvariantChecker& checker,
                   std::uint64_t request,
                   const RequestRecord& record) -> void {
  checker.requests[request] = record;
}

auto OnRequestExecuted(InvariantChecker& checker,
                       std::uint64_t request,
                       const std::string& service,
                       const std::string& target,
                       TimePoint now) -> void {
  const auto it = checker.requests.find(request);
  if (it == checker.requests.end()) {
    AddViolation(checker, "unasked", fmt::format("request {}", request), now);
    return;
  }
  const RequestRecord& sent = it->second;
  const std::string route = ToString(sent.route);
  if (!checker.services_by_route[route].contains(service)) {
    AddViolation(
        checker, kRouteInvariant,
        fmt::format("request {} from port {}{} to {}, opening seq {}, executed "
                    "by service {} at {}",
                    request, sent.port,
                    sent.is_port_reused ? " (used before)" : "", route,
                    sent.opening_sequence, service, target),
        now);
  }
  if (++it->second.execution_count > 1) {
    AddViolation(checker, "at most once",
                 fmt::format("request {} executed {} times", request,
                             it->second.execution_count),
                 now);
  }
}

auto CountViolations(const InvariantChecker& checker,
                     const std::string& invariant) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      checker.violations.begin(), checker.violations.end(),
      [&](const Violation& it) { return it.invariant == invariant; }));
}

auto OnAnswerReceived(InvariantChecker& checker,
                      std::uint64_t asked,
                      std::uint64_t answered,
                      TimePoint now) -> void {
  if (asked != answered) {
    AddViolation(
        checker, "wrong answer",
        fmt::format("flow waits for request {}, answer to request {} received",
                    asked, answered),
        now);
  }
}

auto OnFlowReset(InvariantChecker& checker,
                 const ResetRecord& reset,
                 TimePoint now) -> void {
  const bool is_undisturbed =
      HasSubjectRecovered(checker, reset.agent, false, now) &&
      HasSubjectRecovered(checker, reset.target, false, now) &&
      std::all_of(reset.recent_balancers.begin(), reset.recent_balancers.end(),
                  [&](const std::string& it) {
                    return HasSubjectRecovered(checker, it, false, now);
                  });
  if (!reset.target_holds_flow || reset.is_exempt || !is_undisturbed) {
    ++checker.excused_resets;
    return;
  }
  AddViolation(
      checker, "broken flow",
      fmt::format("caller port {}, target of {}", reset.port, reset.agent),
      now);
}

auto OnOpeningAtDrainingTarget(InvariantChecker& checker,
                               const std::string& agent,
                               TimePoint since,
                               TimePoint now) -> void {
  if (now - since > kDrainOpeningTime &&
      HasSubjectRecovered(checker, agent, true, now)) {
    AddViolation(
        checker, "drain",
        fmt::format("opening packet at the draining target of {}", agent), now);
  }
}

auto OnRoutesVersionReported(InvariantChecker& checker,
                             const std::string& process,
                             const std::string& subject,
                             std::uint64_t version,
                             TimePoint now) -> void {
  std::uint64_t& last = checker.last_versions[process];
  if (version < last) {
    AddViolation(checker, "version decreased",
                 fmt::format("{}: version {} after {}", process, version, last),
                 now);
  }
  last = version;
  if (!HasSubjectRecovered(checker, subject, true, now) ||
      !HasSubjectRecovered(checker, kStoreSubject, true, now)) {
    return;
  }
  for (const auto& [accepted, at] : checker.accepted_at) {
    if (accepted > version && now - at > kPropagationTime) {
      AddViolation(checker, "not in force",
                   fmt::format("{}: version {} in force, version {} accepted",
                               process, version, accepted),
                   now);
      return;
    }
  }
}

auto OnProcessExited(InvariantChecker& checker,
                     const std::string& process,
                     bool expected,
                     int code,
                     TimePoint now) -> void {
  if (!expected) {
    AddViolation(
        checker, "unexpected exit",
        fmt::format("{}: exit code {}, no exit expected", process, code), now);
  }
}

auto OnRequestFinished(InvariantChecker& checker,
                       bool served,
                       bool in_final_phase) -> void {
  ++(served ? checker.served : checker.failed);
  if (in_final_phase) {
    ++(served ? checker.final_served : checker.final_failed);
  }
}

auto CheckServedShareOfFinalPhase(InvariantChecker& checker, TimePoint now)
    -> void {
  const auto served = static_cast<double>(checker.final_served);
  const auto all = served + static_cast<double>(checker.final_failed);
  if (all == 0 || served < kMinServedShare * all) {
    AddViolation(checker, "recovery",
                 fmt::format("{} of {} requests served in the final phase",
                             checker.final_served, all),
                 now);
  }
}

}  // namespace hawthornbank::soak
