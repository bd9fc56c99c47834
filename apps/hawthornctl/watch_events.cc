#include "watch_events.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/configuration_diff.h"

namespace hawthornbank::hawthornctl {
namespace {

using Rates = std::map<std::string, double>;
using Events = std::vector<WatchEvent>;

auto DescribeInForce(Generation generation,
                     std::size_t done,
                     std::size_t total,
                     const std::vector<std::string>& lagging) -> std::string {
  std::string text = "generation " + std::to_string(ToInteger(generation)) +
                     " on " + std::to_string(done) + " of " +
                     std::to_string(total);
  for (std::size_t n = 0; n < lagging.size(); ++n) {
    text += (n == 0 ? "; lags: " : ", ") + lagging[n];
  }
  return text;
}

auto FindBalancer(const StatusPages& pages) -> const ProcessStatus* {
  for (const auto& it : pages.pages) {
    if (it.role == "balancer") {
      return &it;
    }
  }
  return nullptr;
}

auto TakeBalancer(const ProcessStatus& status, WatchSnapshot& snapshot)
    -> void {
  const Generation newest = NewestGeneration(status);
  const InForce in_force = CountInForce(status, newest);
  snapshot.in_force =
      DescribeInForce(newest, in_force.total - in_force.lagging.size(),
                      in_force.total, in_force.lagging);
  for (const auto& it : status.targets) {
    snapshot.states["target " + it.name] = it.state;
  }
  for (const auto& it : status.balancers) {
    snapshot.states["balancer " + it.name] = it.state;
  }
}

/// Adds the event of a text that changed.
auto CompareText(const std::string& kind,
                 const std::string& subject,
                 const std::string& before,
                 const std::string& after,
                 Events& events) -> void {
  if (before != after) {
    events.push_back(WatchEvent{
        .kind = kind, .subject = subject, .before = before, .after = after});
  }
}

auto CompareStates(const WatchSnapshot& before,
                   const WatchSnapshot& after,
                   Events& events) -> void {
  auto subjects = before.states;
  subjects.insert(after.states.begin(), after.states.end());
  const auto state_in = [](const auto& states, const std::string& subject) {
    const auto it = states.find(subject);
    return it == states.end() ? std::string() : it->second;
  };
  for (const auto& [subject, unused] : subjects) {
    CompareText("state", subject, state_in(before.states, subject),
                state_in(after.states, subject), events);
  }
}

/// Adds what one process counted since the snapshot before.
auto AddRates(const Refusals& before,
              const Refusals& after,
              double seconds,
              Rates& rates) -> void {
  constexpr double kSteps = 10;  // Of a rate, per unit.
  for (const auto& [name, count] : after) {
    const auto it = before.find(name);
    const std::uint64_t earlier = it == before.end() ? 0 : it->second;
    // A process that was restarted counts from 0 again.
    const std::uint64_t more = count >= earlier ? count - earlier : count;
    if (more > 0) {
      const double rate = static_cast<double>(more) / seconds;
      rates[name] += std::max(1.0, std::round(rate * kSteps)) / kSteps;
    }
  }
}

/// Counts of a process that did not answer the time before say nothing.
auto RatesBetween(const WatchSnapshot& before, const WatchSnapshot& after)
    -> Rates {
  const double seconds =
      std::chrono::duration<double>(after.at - before.at).count();
  Rates rates;
  for (const auto& [process, counts] : after.refusals) {
    const auto it = before.refusals.find(process);
    if (it != before.refusals.end() && seconds > 0) {
      AddRates(it->second, counts, seconds, rates);
    }
  }
  return rates;
}

auto DescribeRates(const Rates& rates) -> std::string {
  std::string text;
  for (const auto& [name, rate] : rates) {
    text += (text.empty() ? "" : ", ") + name;
    text += " " + FormatRate(rate) + "/s";
  }
  return text.empty() ? "none" : text;
}

auto CompareAnswers(const WatchSnapshot& before,
                    const WatchSnapshot& after,
                    Events& events) -> void {
  const auto contains = [](const auto& list, const std::string& text) {
    return std::find(list.begin(), list.end(), text) != list.end();
  };
  for (const auto& it : after.unanswered) {
    if (!contains(before.unanswered, it)) {
      events.push_back(WatchEvent{.kind = "answers", .after = it});
    }
  }
  for (const auto& it : before.unanswered) {
    if (!contains(after.unanswered, it)) {
      events.push_back(WatchEvent{.kind = "answers", .before = it});
    }
  }
  const bool first = before.at == std::chrono::steady_clock::time_point{};
  if (!after.answered && (first || before.answered)) {
    events.push_back(
        WatchEvent{.kind = "answers", .after = "no balancer answers"});
  }
}

}  // namespace

auto MakeSnapshot(const StatusPages& pages,
                  std::chrono::steady_clock::time_point at) -> WatchSnapshot {
  WatchSnapshot snapshot{.at = at, .unanswered = pages.unanswered};
  if (const auto* const balancer = FindBalancer(pages)) {
    snapshot.answered = true;
    TakeBalancer(*balancer, snapshot);
  }
  if (const auto* const root = FindRoot(pages)) {
    const auto& hosts = root->hosts;
    snapshot.hosts_in_force = DescribeInForce(hosts.generation, hosts.in_force,
                                              hosts.total, hosts.lagging);
  }
  for (const auto& page : pages.pages) {
    auto& counts = snapshot.refusals[page.role + " " + page.name];
    for (const auto& [name, count] : page.counters) {
      if (IsRefusal(name)) {
        counts[name] = count;
      }
    }
  }
  return snapshot;
}

auto CompareSnapshots(const WatchSnapshot& before, WatchSnapshot& after)
    -> std::vector<WatchEvent> {
  if (!after.answered) {
    after.in_force = before.in_force;
    after.states = before.states;
  }
  if (after.hosts_in_force.empty()) {
    after.hosts_in_force = before.hosts_in_force;
  }
  Events events;
  CompareAnswers(before, after, events);
  CompareText("in_force", "balancers", before.in_force, after.in_force, events);
  CompareText("in_force", "balancers and agents", before.hosts_in_force,
              after.hosts_in_force, events);
  CompareStates(before, after, events);
  after.rates = RatesBetween(before, after);
  if (after.rates != before.rates) {
    events.push_back(WatchEvent{.kind = "refusals", .rates = after.rates});
  }
  return events;
}

auto ToText(const WatchEvent& event) -> std::string {
  if (event.kind == "refusals") {
    return "refusals: " + DescribeRates(event.rates);
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

auto ToJson(const WatchEvent& event, const std::string& time) -> std::string {
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
