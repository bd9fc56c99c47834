#include "soak/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "soak/judge_detail.h"

namespace hawthornbank::soak {
namespace {

constexpr const char* kStoreSubject = "store";

// Returns whether kMinRecoveredShare of the requests was served before the last
// fault, or before the final phase if there was none.
auto WasServing(const InvariantChecker& checker) -> bool {
  const bool had_fault =
      checker.served_before_fault + checker.failed_before_fault > 0;
  const std::uint64_t served = had_fault
                                   ? checker.served_before_fault
                                   : checker.served - checker.final_served;
  const std::uint64_t failed = had_fault
                                   ? checker.failed_before_fault
                                   : checker.failed - checker.final_failed;
  return served > 0 &&
         static_cast<double>(served) >=
             kMinRecoveredShare * static_cast<double>(served + failed);
}

// Returns whether all disturbances ended at least kRecoverTime before the final
// phase.
auto AreAllBack(const InvariantChecker& checker) -> bool {
  return std::all_of(checker.disturbances.begin(), checker.disturbances.end(),
                     [&](const auto& it) {
                       return checker.final_phase_start - it.second.any >=
                              kRecoverTime;
                     });
}

}  // namespace

auto detail::AddViolation(InvariantChecker& checker,
                          const char* rule,
                          std::string detail,
                          TimePoint now) -> void {
  checker.violations.push_back(
      Violation{.invariant = rule, .detail = std::move(detail), .at = now});
}

auto detail::AddFlowViolation(InvariantChecker& checker,
                              const char* rule,
                              const FlowId& flow,
                              const std::string& detail,
                              TimePoint now) -> void {
  checker.violations.push_back(
      Violation{.invariant = rule,
                .detail = detail,
                .at = now,
                .flow = flow.key,
                .opening_sequence = flow.opening_sequence});
}

auto detail::DescribeFlow(const FlowId& flow) -> std::string {
  return fmt::format("port {} to {}, opening seq {}", flow.key.caller.port,
                     ToString(flow.key.address), flow.opening_sequence);
}

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

auto HasStoreRecovered(const InvariantChecker& checker, TimePoint now) -> bool {
  return HasSubjectRecovered(checker, kStoreSubject, true, now);
}

auto OnForgedPacketAtCaller(InvariantChecker& checker,
                            const FlowId& flow,
                            const std::string& detail,
                            TimePoint now) -> void {
  detail::AddFlowViolation(
      checker, kMixedRule, flow,
      fmt::format("{}: {}", detail::DescribeFlow(flow), detail), now);
}

auto OnRequestSent(InvariantChecker& checker,
                   std::uint64_t request,
                   const RequestRecord& record) -> void {
  checker.requests[request] = record;
}

auto OnRequestExecuted(InvariantChecker& checker,
                       const FlowId& flow,
                       std::uint64_t request,
                       const std::string& service,
                       const std::string& target,
                       TimePoint now) -> void {
  const auto it = checker.requests.find(request);
  if (it == checker.requests.end()) {
    detail::AddFlowViolation(checker, kUnaskedRule, flow,
                             fmt::format("request {} on {} at {}", request,
                                         detail::DescribeFlow(flow), target),
                             now);
    return;
  }
  const RequestRecord& sent = it->second;
  const std::string route = ToString(sent.flow.key.address);
  if (!checker.services_by_route[route].contains(service)) {
    detail::AddFlowViolation(
        checker, kRouteRule, sent.flow,
        fmt::format("request {} from port {}{} to {}, opening seq {}, executed "
                    "by service {} at {}",
                    request, sent.flow.key.caller.port,
                    sent.is_port_reused ? " (used before)" : "", route,
                    sent.flow.opening_sequence, service, target),
        now);
  }
  if (++it->second.execution_count > 1) {
    detail::AddFlowViolation(checker, kAtMostOnceCheck, sent.flow,
                             fmt::format("request {} executed {} times",
                                         request, it->second.execution_count),
                             now);
  }
}

auto CountViolations(const InvariantChecker& checker,
                     const std::string& invariant) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      checker.violations.begin(), checker.violations.end(),
      [&](const Violation& it) { return it.invariant == invariant; }));
}

auto GetViolatedInvariants(const InvariantChecker& checker)
    -> std::set<std::string> {
  std::set<std::string> names;
  for (const auto& it : checker.violations) {
    names.insert(it.invariant);
  }
  return names;
}

auto OnAnswerReceived(InvariantChecker& checker,
                      const FlowId& flow,
                      std::uint64_t asked,
                      std::uint64_t answered,
                      TimePoint now) -> void {
  if (asked == answered) {
    return;
  }
  const auto it = checker.requests.find(answered);
  // Requests are numbered in the order in which they are sent, so the answer of
  // an earlier request on the same port and route may be repeated or late.
  const bool is_earlier =
      it != checker.requests.end() && it->second.flow.key == flow.key;
  if (!is_earlier) {
    detail::AddFlowViolation(
        checker, kMixedRule, flow,
        fmt::format(
            "{} waits for {}, answer to request {} received",
            detail::DescribeFlow(flow),
            asked == 0 ? "no request" : fmt::format("request {}", asked),
            answered),
        now);
  }
}

auto OnProcessExited(InvariantChecker& checker,
                     const std::string& process,
                     bool expected,
                     int code,
                     TimePoint now) -> void {
  if (expected && (code == 0 || code == -SIGKILL)) {
    return;
  }
  const auto it = checker.disturbances.find(process);
  const bool is_disturbed = expected || (it != checker.disturbances.end() &&
                                         now - it->second.any < kExitSlack);
  detail::AddViolation(
      checker, is_disturbed ? kExitCheck : kExitRule,
      fmt::format("{}: exit code {}, {}", process, code,
                  expected ? "stopped by the soak" : "no exit expected"),
      now);
}

auto OnRequestFinished(InvariantChecker& checker,
                       bool served,
                       bool in_final_phase) -> void {
  ++(served ? checker.served : checker.failed);
  if (in_final_phase) {
    ++(served ? checker.final_served : checker.final_failed);
  }
}

auto OnFaultStarted(InvariantChecker& checker) -> void {
  checker.served_before_fault = checker.served;
  checker.failed_before_fault = checker.failed;
}

auto OnFinalPhaseStarted(InvariantChecker& checker, TimePoint now) -> void {
  checker.final_phase_start = now;
}

auto CheckServedShareOfFinalPhase(InvariantChecker& checker, TimePoint now)
    -> void {
  const auto served = static_cast<double>(checker.final_served);
  const auto all = served + static_cast<double>(checker.final_failed);
  const std::string text = fmt::format(
      "{} of {} requests served in the final phase", checker.final_served, all);
  if (all > 0 && served < kMinRecoveredShare * all && WasServing(checker) &&
      AreAllBack(checker)) {
    detail::AddViolation(checker, kRecoverRule, text, now);
  } else if (all == 0 || served < kMinServedShare * all) {
    detail::AddViolation(checker, kServedShareCheck, text, now);
  }
}

}  // namespace hawthornbank::soak
