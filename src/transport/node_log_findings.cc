#include "transport/node_log_findings.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "transport/node_log_stories.h"

namespace hawthornbank::transport {
namespace {

using Findings = std::vector<TimelineFinding>;

constexpr const char* kRouteRule = "ROUTE";
constexpr const char* kDrainRule = "DRAIN";
constexpr const char* kFlowRule = "FLOW";
constexpr const char* kZoneRule = "EVAC";

auto CountMoreOf(const std::vector<LogLine>& lines) -> std::string {
  return lines.size() > 1 ? fmt::format(" and {} more", lines.size() - 1) : "";
}

// Says where the opening ended.
auto AddOutcome(const Timeline& timeline,
                const OpeningStory& story,
                Findings& out) -> void {
  const std::string opening = story.number.empty()
                                  ? "lines without an opening"
                                  : fmt::format("opening {}", story.number);
  if (!story.deliveries.empty()) {
    const LogLine& last = story.deliveries.back();
    const LogLine* const offer = FindOffer(story, last);
    out.push_back(
        {.text = fmt::format(
             "{}: sent to target {} (started at {}) of service {} "
             "by agent {}{}; offered by {} as service {}",
             opening, FindField(last, "target"), FindField(last, "born"),
             ResolveService(timeline.directory, FindField(last, "own")),
             last.node, CountMoreOf(story.deliveries),
             offer == nullptr
                 ? DescribeControl(timeline.directory, FindField(last, "from"))
                 : std::string(offer->node),
             ResolveService(timeline.directory, FindField(last, "service")))});
  } else if (!story.confirmations.empty()) {
    const LogLine& last = story.confirmations.back();
    out.push_back(
        {.text = fmt::format(
             "{}: confirmed by agent {}; the agent's lines "
             "aren't among the files",
             opening,
             DescribeControl(timeline.directory, FindField(last, "agent")))});
  } else if (!story.offers.empty() || !story.returns.empty()) {
    out.push_back({.text = fmt::format(
                       "{}: offered {} times, returned {} times; no line tells "
                       "that a target got it",
                       opening, story.offers.size(), story.returns.size())});
  } else {
    out.push_back({.text = opening + ": no line tells of an offer"});
  }
}

auto CheckOffers(const Timeline& timeline,
                 const OpeningStory& story,
                 Findings& out) -> void {
  std::set<std::string_view> placed_by_routes;  // Services.
  std::set<std::string> reported;
  for (const auto& it : story.offers) {
    const std::string_view service = FindField(it, "service");
    const std::string_view route = FindField(it, "route");
    if (route.empty()) {
      placed_by_routes.insert(service);
      continue;
    }
    if (!reported
             .insert(fmt::format("{} {} {} {}", it.node, service, route,
                                 FindField(it, "agent")))
             .second) {
      continue;  // A further copy.
    }
    if (placed_by_routes.contains(service)) {
      out.push_back({.text = fmt::format(
                         "{} offered a copy as service {}, for which the "
                         "opening was placed before the routes changed to {}",
                         it.node, ResolveService(timeline.directory, service),
                         ResolveService(timeline.directory, route))});
      continue;
    }
    out.push_back(
        {.rule = kRouteRule,
         .text = fmt::format(
             "{} told agent {} service {}, though routes version {} led to {}; "
             "reason {}{}{}",
             it.node,
             DescribeControl(timeline.directory, FindField(it, "agent")),
             ResolveService(timeline.directory, service),
             FindField(it, "version"),
             ResolveService(timeline.directory, route), FindField(it, "reason"),
             FindField(it, "remembered") == "no" ||
                     FindField(it, "remembered").empty()
                 ? ""
                 : fmt::format(", as it remembered {} ({}, used {} ms before)",
                               &it == &story.offers.front()
                                   ? "an earlier flow of the port"
                                   : "the flow",
                               FindField(it, "remembered"),
                               FindField(it, "remembered_ms")),
             FindField(it, "remembered_born").empty()
                 ? std::string()
                 : fmt::format(", at a target started at {}, while {} is there "
                               "now",
                               FindField(it, "remembered_born"),
                               FindField(it, "born")))});
  }
}

// Returns which target of another service had started at the agent's address
// before a delivery, by its heartbeats to the agent, or an empty text.
// Heartbeats of an earlier target may be late.
auto DescribeOtherTarget(const Timeline& timeline, const LogLine& delivery)
    -> std::string {
  for (const auto& it : timeline.lines) {
    const auto parsed = ParseLogLine(it.text);
    const auto* const line = std::get_if<LogLine>(&parsed);
    if (line == nullptr || line->node != delivery.node ||
        line->event != "heartbeat_ignored" ||
        FindField(*line, "service") == FindField(*line, "own")) {
      continue;
    }
    const auto born = FindNumber(*line, "born").value_or(0);
    if (born > FindNumber(delivery, "born").value_or(0) &&
        born <= delivery.time_ms) {
      return fmt::format(
          "target {} of service {}, which sent heartbeats to "
          "this agent, had started {} ms before",
          FindField(*line, "id"),
          ResolveService(timeline.directory, FindField(*line, "service")),
          delivery.time_ms - born);
    }
  }
  return "";
}

auto CheckDeliveries(const Timeline& timeline,
                     const OpeningStory& story,
                     Findings& out) -> void {
  std::set<std::string_view> targets;
  std::set<std::string_view> doubtful;  // Agents.
  for (const auto& it : story.deliveries) {
    targets.insert(FindField(it, "born"));
    const std::string_view service = FindField(it, "service");
    const std::string_view own = FindField(it, "own");
    if (service != own && ResolveService(timeline.directory, service) !=
                              ResolveService(timeline.directory, own)) {
      out.push_back(
          {.rule = kRouteRule,
           .text = fmt::format("agent {} of service {} sent its target an "
                               "opening for service {}",
                               it.node, ResolveService(timeline.directory, own),
                               ResolveService(timeline.directory, service))});
    }
    const std::string_view state = FindField(it, "state");
    if (it.event == "flow_opened" && state != "ready") {
      out.push_back({.rule = kDrainRule,
                     .text = fmt::format("agent {} opened it at a target that "
                                         "was {}",
                                         it.node, state)});
    }
    const auto age = FindNumber(it, "heartbeat_ms");
    const std::string other = DescribeOtherTarget(timeline, it);
    const bool is_doubtful =
        age.value_or(0) >= kDoubtfulHeartbeatAge.count() || !other.empty();
    if (is_doubtful && doubtful.insert(it.node).second) {
      out.push_back(
          {.rule = kRouteRule,
           .text = fmt::format("agent {} sent it to an address that may "
                               "belong to another target: the last heartbeat "
                               "was {} ms old{}{}",
                               it.node, age.value_or(0),
                               other.empty() ? "" : "; ", other)});
    }
  }
  if (targets.size() > 1) {
    out.push_back({.text = fmt::format("the opening was sent to {} targets, as "
                                       "some didn't answer or returned it",
                                       targets.size())});
  }
}

// Returns whether heartbeats of the target that had the flow go on after its
// agent has reset it. One may be late.
auto HasLiveTarget(const Timeline& timeline,
                   const LogLine& delivery,
                   const LogLine& reset) -> bool {
  int heartbeats = 0;
  for (const auto& it : timeline.lines) {
    const auto parsed = ParseLogLine(it.text);
    const auto* const line = std::get_if<LogLine>(&parsed);
    heartbeats +=
        line != nullptr && line->node == delivery.node &&
                line->event == "heartbeat_ignored" &&
                line->time_ms >= reset.time_ms &&
                FindField(*line, "born") == FindField(delivery, "born")
            ? 1
            : 0;
  }
  return heartbeats > 1;
}

// An open flow may end with its target or agent; their lines say so.
auto CheckResets(const Timeline& timeline,
                 const OpeningStory& story,
                 Findings& out) -> void {
  for (const auto& it : story.resets) {
    if (!FindField(it, "opening").empty()) {
      out.push_back({.text = fmt::format("{} reset the opening: {}", it.node,
                                         FindField(it, "reason"))});
      continue;
    }
    std::vector<std::string> causes;
    for (const auto& other : timeline.lines) {
      const auto parsed = ParseLogLine(other.text);
      const auto* const line = std::get_if<LogLine>(&parsed);
      const bool is_holder = line != nullptr && !story.deliveries.empty() &&
                             line->node == story.deliveries.back().node;
      if (is_holder && line->time_ms <= it.time_ms &&
          line->time_ms >= story.deliveries.back().time_ms &&
          (line->event == "start" || line->event == "stopping" ||
           line->event.starts_with("target_"))) {
        causes.push_back(fmt::format("{} at {}", line->event, line->node));
      }
    }
    const bool is_of_other_agent =
        timeline.directory.nodes.contains(it.node) &&
        timeline.directory.nodes.find(it.node)->second.role == "agent" &&
        !story.deliveries.empty() && story.deliveries.back().node != it.node;
    if (is_of_other_agent) {
      out.push_back({.text = fmt::format("{}, which hasn't opened it, reset a "
                                         "flow of the port: {}",
                                         it.node, FindField(it, "reason"))});
      continue;
    }
    if (!story.deliveries.empty() && it.node == story.deliveries.back().node &&
        HasLiveTarget(timeline, story.deliveries.back(), it)) {
      out.push_back(
          {.rule = kFlowRule,
           .text = fmt::format("{} reset the open flow: {}; but heartbeats of "
                               "the target that had it, started at {}, went on",
                               it.node, FindField(it, "reason"),
                               FindField(story.deliveries.back(), "born"))});
      continue;
    }
    const bool is_explained = !causes.empty();
    out.push_back(
        {.rule = is_explained ? "" : kFlowRule,
         .text = fmt::format(
             "{} reset the open flow: {}{}", it.node, FindField(it, "reason"),
             is_explained ? ", after " + causes.back()
                          : std::string("; no line tells that the agent or "
                                        "its target ended"))});
  }
}

// Compares the zones of the agents that opened the flow with the latest list of
// zones out of service that its balancer had.
auto CheckZones(const Timeline& timeline,
                const OpeningStory& story,
                Findings& out) -> void {
  for (const auto& it : story.deliveries) {
    const LogLine* const offer = FindOffer(story, it);
    const auto agent = timeline.directory.nodes.find(it.node);
    if (offer == nullptr || it.event != "flow_opened" ||
        agent == timeline.directory.nodes.end() || agent->second.zone.empty()) {
      continue;
    }
    std::string zones;
    for (const auto& other : timeline.lines) {
      const auto parsed = ParseLogLine(other.text);
      const auto* const line = std::get_if<LogLine>(&parsed);
      if (line != nullptr && line->node == offer->node &&
          line->time_ms <= offer->time_ms &&
          line->event == "zones_out_of_service") {
        zones = fmt::format(" {} ", FindField(*line, "zones"));
      }
    }
    std::replace(zones.begin(), zones.end(), ',', ' ');
    if (zones.find(fmt::format(" {} ", agent->second.zone)) !=
        std::string::npos) {
      out.push_back(
          {.rule = kZoneRule,
           .text = fmt::format("{} offered it to {} in zone {}, "
                               "which it knew to be out of service",
                               offer->node, it.node, agent->second.zone)});
    }
  }
}

// Adds the first violation of each rule with the number of further ones.
auto AddViolations(const OpeningStory& story, Findings& out) -> void {
  std::map<std::string_view, std::vector<LogLine>> by_rule;
  for (const auto& it : story.violations) {
    by_rule[it.event].push_back(it);
  }
  for (const auto& [rule, violations] : by_rule) {
    out.push_back(
        {.rule = std::string(rule),
         .text = fmt::format("{}{}", FindField(violations.front(), "detail"),
                             CountMoreOf(violations)),
         .is_seen = true});
  }
}

auto EraseRepeated(Findings& findings) -> void {
  std::set<std::pair<std::string, std::string>> known;
  std::erase_if(findings, [&](const TimelineFinding& it) {
    return !known.emplace(it.rule, it.text).second;
  });
}

}  // namespace

auto FindConclusions(const Timeline& timeline) -> Findings {
  Findings findings;
  for (const auto& it : CollectStories(timeline)) {
    AddOutcome(timeline, it, findings);
    AddViolations(it, findings);
    CheckOffers(timeline, it, findings);
    CheckDeliveries(timeline, it, findings);
    CheckZones(timeline, it, findings);
    CheckResets(timeline, it, findings);
  }
  EraseRepeated(findings);
  return findings;
}

}  // namespace hawthornbank::transport
