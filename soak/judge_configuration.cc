#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <optional>

#include "soak/judge.h"
#include "soak/judge_detail.h"

/// @file
/// CONFIG, and the checks of the routes versions that processes report.
namespace hawthornbank::soak {
namespace {

// Returns the service of a route in a configuration; empty if it has none.
auto FindService(const StoredRoutes& routes, const std::string& route)
    -> std::string {
  const auto it = routes.services.find(route);
  return it == routes.services.end() ? std::string() : it->second;
}

// Returns the newest version that led a route to a service; 0 if none did.
auto FindNewestVersion(const InvariantChecker& checker,
                       const std::string& route,
                       const std::string& service) -> std::uint64_t {
  const auto it = std::find_if(
      checker.stored_routes.rbegin(), checker.stored_routes.rend(),
      [&](const StoredRoutes& n) { return FindService(n, route) == service; });
  return it == checker.stored_routes.rend() ? 0 : it->version;
}

// Returns the oldest version, not below `least`, that led a route to a service;
// nothing if none did.
auto FindOldestVersion(const InvariantChecker& checker,
                       const std::string& route,
                       const std::string& service,
                       std::uint64_t least) -> std::optional<std::uint64_t> {
  const auto it = std::find_if(
      checker.stored_routes.begin(), checker.stored_routes.end(),
      [&](const StoredRoutes& n) {
        return n.version >= least && FindService(n, route) == service;
      });
  return it == checker.stored_routes.end() ? std::nullopt
                                           : std::optional(it->version);
}

// Returns the newest version accepted more than kPropagationTime before the
// opening was sent; 0 if there is none.
auto FindDueVersion(const InvariantChecker& checker, TimePoint sent)
    -> std::uint64_t {
  std::uint64_t due = 0;
  for (const auto& it : checker.stored_routes) {
    if (sent - it.at > kPropagationTime) {
      due = it.version;
    }
  }
  return due;
}

// Returns the newest version of which an effect was seen through the same start
// of the balancer, long enough before the opening was sent; 0 if there is none.
auto FindSeenVersion(const InvariantChecker& checker,
                     const std::string& process,
                     const SentOpening& sent) -> std::uint64_t {
  const bool is_slowed =
      !HasSubjectRecovered(checker, sent.balancer.subject, true, sent.at);
  const Duration slack =
      kRollbackSlack * (is_slowed ? kSlowedRollbackFactor : 1);
  const auto it = checker.seen_versions.find(process);
  std::uint64_t seen = 0;
  if (it != checker.seen_versions.end()) {
    for (const auto& n : it->second) {
      if (sent.at - n.at > slack) {
        seen = n.version;
      }
    }
  }
  return seen;
}

}  // namespace

auto OnRouteStored(InvariantChecker& checker,
                   Endpoint route,
                   const std::string& service) -> void {
  checker.services_by_route[ToString(route)].insert(service);
}

auto OnRoutesStored(InvariantChecker& checker,
                    std::uint64_t version,
                    const std::vector<std::pair<Endpoint, std::string>>& routes,
                    TimePoint now) -> void {
  StoredRoutes stored{.version = version, .at = now};
  for (const auto& [route, service] : routes) {
    OnRouteStored(checker, route, service);
    stored.services[ToString(route)] = service;
  }
  checker.stored_routes.push_back(std::move(stored));
  checker.accepted_at[version] = now;
}

auto detail::CheckConfiguration(InvariantChecker& checker,
                                const TakenOpening& opening,
                                const SentOpening& sent,
                                TimePoint now) -> void {
  const std::string route = ToString(opening.flow.key.address);
  const std::uint64_t newest =
      FindNewestVersion(checker, route, opening.service);
  if (newest == 0) {
    return;  // ROUTE.
  }
  const std::string process =
      fmt::format("{}#{}", sent.balancer.subject, sent.balancer.number);
  const std::uint64_t due = FindDueVersion(checker, sent.at);
  const std::uint64_t seen = FindSeenVersion(checker, process, sent);
  const bool are_in_touch =
      HasStoreRecovered(checker, now) &&
      HasSubjectRecovered(checker, opening.agent, true, now) &&
      HasSubjectRecovered(checker, sent.balancer.subject, true, now);
  const bool is_late = newest < due && are_in_touch;
  if (is_late || newest < seen) {
    AddFlowViolation(
        checker, kConfigRule, opening.flow,
        fmt::format("{}, opening through {} taken by service {} at {} as "
                    "version {} says, version {} {}",
                    DescribeFlow(opening.flow), process, opening.service,
                    opening.target, newest, is_late ? due : seen,
                    is_late ? "accepted in time" : "seen before"),
        now);
    return;
  }
  if (opening.copy > 0) {
    return;  // Copies may follow their flow, which older routes have led.
  }
  auto& versions = checker.seen_versions[process];
  const auto effect =
      FindOldestVersion(checker, route, opening.service,
                        versions.empty() ? 0 : versions.back().version);
  if (effect.has_value() &&
      (versions.empty() || *effect > versions.back().version)) {
    versions.push_back({.version = *effect, .at = now});
  }
}

auto FindServicesInForce(const InvariantChecker& checker,
                         Endpoint route,
                         TimePoint sent) -> std::set<std::string> {
  const std::string name = ToString(route);
  const std::uint64_t due = FindDueVersion(checker, sent);
  std::set<std::string> services;
  for (const auto& it : checker.stored_routes) {
    if (it.version >= due) {
      services.insert(FindService(it, name));
    }
  }
  services.erase("");
  return services;
}

auto OnOpeningReset(InvariantChecker& checker,
                    const RefusalRecord& refusal,
                    TimePoint now) -> void {
  const std::string route = ToString(refusal.flow.key.address);
  const std::uint64_t due = FindDueVersion(checker, refusal.sent);
  bool was_missing = false;
  for (const auto& it : checker.stored_routes) {
    const bool is_missing = FindService(it, route).empty();
    if (it.version >= due && is_missing) {
      return;
    }
    was_missing = was_missing || is_missing;
  }
  const auto is_in_touch = [&](const std::string& it) {
    return HasSubjectRecovered(checker, it, true, now);
  };
  if (was_missing && HasStoreRecovered(checker, now) &&
      std::all_of(refusal.balancers.begin(), refusal.balancers.end(),
                  is_in_touch) &&
      std::any_of(refusal.ready_agents.begin(), refusal.ready_agents.end(),
                  is_in_touch)) {
    detail::AddFlowViolation(
        checker, kRefusedCheck, refusal.flow,
        fmt::format("{}, opening reset though version {} has the route",
                    detail::DescribeFlow(refusal.flow), due),
        now);
  }
}

auto OnRoutesVersionReported(InvariantChecker& checker,
                             const std::string& process,
                             const std::string& subject,
                             std::uint64_t version,
                             TimePoint now) -> void {
  std::uint64_t& last = checker.last_versions[process];
  if (version < last) {
    detail::AddViolation(
        checker, kVersionDecreasedCheck,
        fmt::format("{}: version {} after {}", process, version, last), now);
  }
  last = version;
  if (!HasSubjectRecovered(checker, subject, true, now) ||
      !HasStoreRecovered(checker, now)) {
    return;
  }
  for (const auto& [accepted, at] : checker.accepted_at) {
    if (accepted > version && now - at > kPropagationTime) {
      detail::AddViolation(
          checker, kNotInForceCheck,
          fmt::format("{}: version {} in force, version {} accepted", process,
                      version, accepted),
          now);
      return;
    }
  }
}

}  // namespace hawthornbank::soak
