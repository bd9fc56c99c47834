#include "watch_events.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/configuration_diff.h"

namespace hawthornbank::hawthornctl {
namespace {

using Rates = std::map<std::string, double>;
using Events = std::vector<WatchEvent>;

auto DescribeGenerationInForce(Generation generation,
                               std::size_t done,
                               std::size_t total,
                               const std::vector<std::string>& lagging)
    -> std::string {
  std::string text = "generation " + std::to_string(ToInteger(generation)) +
                     " on " + std::to_string(done) + " of " +
                     std::to_string(total);
  for (std::size_t n = 0; n < lagging.size(); ++n) {
    text += (n == 0 ? "; lags: " : ", ") + lagging[n];
  }
  return text;
}

auto FindFirstBalancer(const StatusPages& pages) -> const ProcessStatus* {
  for (const auto& it : pages.pages) {
    if (it.role == "balancer") {
      return &it;
    }
  }
  return nullptr;
}

auto AddBalancerStatus(const ProcessStatus& status, WatchSnapshot& snapshot)
    -> void {
  const Generation newest = FindNewestGeneration(status);
  const BalancerProgress in_force = ComputeBalancerProgress(status, newest);
  snapshot.in_force = DescribeGenerationInForce(
      newest, in_force.total - in_force.lagging.size(), in_force.total,
      in_force.lagging);
  for (const auto& it : status.targets) {
    snapshot.states["target " + it.name] = it.state;
  }
  for (const auto& it : status.balancers) {
    snapshot.states["balancer " + it.name] = it.state;
  }
}

/// Appends an event if `before` and `after` differ.
auto AppendEventIfTextChanged(const std::string& kind,
                              const std::string& subject,
                              const std::string& before,
                              const std::string& after,
                              Events& events) -> void {
  if (before != after) {
    events.push_back(WatchEvent{
        .kind = kind, .subject = subject, .before = before, .after = after});
  }
}

auto AppendStateChanges(const WatchSnapshot& before,
                        const WatchSnapshot& after,
                        Events& events) -> void {
  auto subjects = before.states;
  subjects.insert(after.states.begin(), after.states.end());
  const auto state_in = [](const auto& states, const std::string& subject) {
    const auto it = states.find(subject);
    return it == states.end() ? std::string() : it->second;
  };
  for (const auto& [subject, unused] : subjects) {
    AppendEventIfTextChanged("state", subject, state_in(before.states, subject),
                             state_in(after.states, subject), events);
  }
}

/// Adds the refusals per second of one process between two snapshots to
/// `rates`.
auto AddRefusalRates(const RefusalCounts& before,
                     const RefusalCounts& after,
                     double seconds,
                     Rates& rates) -> void {
  // Rates are rounded to tenths; each rate above 0 becomes at least 0.1.
  constexpr double kStepsPerUnit = 10;
  for (const auto& [name, count] : after) {
    const auto it = before.find(name);
    const std::uint64_t earlier = it == before.end() ? 0 : it->second;
    // After a restart, the counters of a process start from 0 again.
    const std::uint64_t more = count >= earlier ? count - earlier : count;
    if (more > 0) {
      const double rate = static_cast<double>(more) / seconds;
      rates[name] +=
          std::max(1.0, std::round(rate * kStepsPerUnit)) / kStepsPerUnit;
    }
  }
}

/// Computes the rates of refusals between two snapshots. A process that did not
/// answer for the earlier snapshot is left out: its earlier counts are unknown.
auto ComputeRefusalRates(const WatchSnapshot& before,
                         const WatchSnapshot& after) -> Rates {
  const double seconds =
      std::chrono::duration<double>(after.at - before.at).count();
  Rates rates;
  for (const auto& [process, counts] : after.refusals) {
    const auto it = before.refusals.find(process);
    if (it != before.refusals.end() && seconds > 0) {
      AddRefusalRates(it->second, counts, seconds, rates);
    }
  }
  return rates;
}

auto DescribeRefusalRates(const Rates& rates) -> std::string {
  std::string text;
  for (const auto& [name, rate] : rates) {
    text += (text.empty() ? "" : ", ") + name;
    text += " " + FormatRequestRate(rate) + "/s";
  }
  return text.empty() ? "none" : text;
}

auto AppendAnswerChanges(const WatchSnapshot& before,
                         const WatchSnapshot& after,
                         Events& events) -> void {
  const auto contains = [](const auto& list, const std::string& text) {
    return std::find(list.begin(), list.end(), text) != list.end();
  };
  for (const auto& it : after.fetch_errors) {
    if (!contains(before.fetch_errors, it)) {
      events.push_back(WatchEvent{.kind = "answers", .after = it});
    }
  }
  for (const auto& it : before.fetch_errors) {
    if (!contains(after.fetch_errors, it)) {
      events.push_back(WatchEvent{.kind = "answers", .before = it});
    }
  }
  const bool first = before.at == std::chrono::steady_clock::time_point{};
  if (!after.balancer_answered && (first || before.balancer_answered)) {
    events.push_back(
        WatchEvent{.kind = "answers", .after = "no balancer answers"});
  }
}

}  // namespace

auto MakeWatchSnapshot(const StatusPages& pages,
                       std::chrono::steady_clock::time_point at)
    -> WatchSnapshot {
  WatchSnapshot snapshot{.at = at, .fetch_errors = pages.fetch_errors};
  if (const auto* const balancer = FindFirstBalancer(pages)) {
    snapshot.balancer_answered = true;
    AddBalancerStatus(*balancer, snapshot);
  }
  if (const auto* const root = FindRootBalancer(pages)) {
    const auto& hosts = root->hosts;
    snapshot.hosts_in_force = DescribeGenerationInForce(
        hosts.generation, hosts.in_force, hosts.total, hosts.lagging);
  }
  for (const auto& page : pages.pages) {
    auto& counts = snapshot.refusals[page.role + " " + page.name];
    for (const auto& [name, count] : page.counters) {
      if (IsRefusalCounter(name)) {
        counts[name] = count;
      }
    }
  }
  return snapshot;
}

auto CompleteSnapshotAndListChanges(const WatchSnapshot& before,
                                    WatchSnapshot& after)
    -> std::vector<WatchEvent> {
  if (!after.balancer_answered) {
    after.in_force = before.in_force;
    after.states = before.states;
  }
  if (after.hosts_in_force.empty()) {
    after.hosts_in_force = before.hosts_in_force;
  }
  Events events;
  AppendAnswerChanges(before, after, events);
  AppendEventIfTextChanged("in_force", "balancers", before.in_force,
                           after.in_force, events);
  AppendEventIfTextChanged("in_force", "balancers and agents",
                           before.hosts_in_force, after.hosts_in_force, events);
  AppendStateChanges(before, after, events);
  after.rates = ComputeRefusalRates(before, after);
  if (after.rates != before.rates) {
    events.push_back(WatchEvent{.kind = "refusals", .rates = after.rates});
  }
  return events;
}

auto FormatEventAsText(const WatchEvent& event) -> std::string {
  if (event.kind == "refusals") {
    return "refusals: " + DescribeRefusalRates(event.rates);
  }
  if (event.kind == "in_force") {
    return "in force on " + event.subject + ": " + event.after;
  }
  if (event.kind == "answers") {
    return event.after.empty() ? "answers again; before: " + event.before
                               : event.after;
  }
  if (event.before.empty()) {
    return event.subject + ": " + event.after;
  }
  return event.subject + ": " + event.before + " -> " +
         (event.after.empty() ? "gone" : event.after);
}

auto FormatEventAsJson(const WatchEvent& event, const std::string& time)
    -> std::string {
  nlohmann::json value{{"time", time}, {"event", event.kind}};
  if (event.kind == "refusals") {
    value["rates"] = event.rates;
  } else {
    value["subject"] = event.subject;
    value["before"] = event.before;
    value["after"] = event.after;
  }
  return value.dump();
}

}  // namespace hawthornbank::hawthornctl
