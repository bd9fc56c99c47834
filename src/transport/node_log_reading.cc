#include "transport/node_log_reading.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "transport/node_log_timeline.h"

namespace hawthornbank::transport {
namespace {

using Text = std::string_view;

// What a reason of a line means.
struct ReasonText {
  Text reason;
  Text text;
};

constexpr auto kReasonTexts = std::to_array<ReasonText>({
    {"placed", "the least loaded target"},
    {"repeated", "the agent that it remembers for the flow"},
    {"sent_back", "the agent before returned it"},
    {"unconfirmed", "the agent before didn't confirm it in time"},
    {"wrong_service", "the opening is for another service"},
    {"not_ready", "the target or the agent takes no new flows"},
    {"full", "the target has no room"},
    {"failing", "most of the target's recent requests failed"},
    {"not_here", "the target doesn't hold the flow"},
    {"returned", "the target returned it"},
    {"silent", "the target didn't answer"},
    {"not_heard", "the target's last heartbeat is too old"},
    {"zone_out", "the agent's zone is out of service"},
    {"warmup", "the limit of the target's warm-up"},
    {"target_gone", "the target that held the flow has ended"},
    {"target_restarted", "the target has restarted and lost the flow"},
    {"no_route", "the address has no route"},
    {"no_routes_yet", "the balancer has no routes yet"},
    {"no_target", "no target takes new flows"},
    {"nobody_took", "no target that was offered the opening took it"},
    {"link_full", "the balancer's link is nearly full"},
    {"no_zones_yet", "the zones out of service aren't known yet"},
    {"zones_out", "all zones with a ready target are out of service"},
    {"not_found", "no agent reported the flow"},
    {"looked_for", "its agent isn't known"},
    {"found", "the agent that has the flow"},
    {"found_former", "found at a service that the route led to before"},
    {"found_wide", "found at a service that wasn't known for the route"},
    {"unsure", "its target may have the flow"},
    {"target_lost", "the flow's target has ended"},
    {"warmup_limit", "all targets left are at the limits of their warm-ups"},
    {"search_limit", "too many packets wait for searches"},
    {"flow_unknown", "no reachable agent's target holds the flow"},
    {"port_reused", "a packet of an earlier flow of the port"},
});

auto DescribeReason(const LogLine& line) -> std::string {
  const Text reason = FindField(line, "reason");
  const auto* const it = std::find_if(
      kReasonTexts.begin(), kReasonTexts.end(),
      [&](const ReasonText& other) { return other.reason == reason; });
  return it == kReasonTexts.end() ? std::string(reason)
                                  : fmt::format("{} ({})", reason, it->text);
}

class LineReader {
 public:
  LineReader(const LogLine& line, const LogDirectory& directory)
      : line_(line), directory_(directory) {}

  [[nodiscard]] auto DescribeFlowEvent() const -> std::string;
  [[nodiscard]] auto DescribeNodeEvent() const -> std::string;

 private:
  [[nodiscard]] auto Get(Text key) const -> Text {
    return FindField(line_, key);
  }
  [[nodiscard]] auto GetService(Text key) const -> std::string {
    return ResolveService(directory_, Get(key));
  }
  [[nodiscard]] auto GetNode(Text key) const -> std::string {
    return DescribeControl(directory_, Get(key));
  }
  // Returns a text with the value of a field, or an empty text.
  [[nodiscard]] auto GetOptional(Text before, Text key, Text after = "") const
      -> std::string {
    const Text value = Get(key);
    return value.empty() ? "" : fmt::format("{}{}{}", before, value, after);
  }
  [[nodiscard]] auto DescribeOpening() const -> std::string {
    return fmt::format("opening {}{}", Get("opening"),
                       Get("copy") == "0" || Get("copy").empty()
                           ? ""
                           : fmt::format(" (copy {})", Get("copy")));
  }
  [[nodiscard]] auto DescribeMemory() const -> std::string;
  [[nodiscard]] auto DescribeOffer() const -> std::string;
  [[nodiscard]] auto DescribeTargetOfLine() const -> std::string;
  [[nodiscard]] auto DescribeReturn() const -> std::string;

  const LogLine& line_;
  const LogDirectory& directory_;
};

auto LineReader::DescribeMemory() const -> std::string {
  const Text remembered = Get("remembered");
  if (remembered.empty() || remembered == "no") {
    return remembered.empty() ? "" : "; it remembered nothing of the flow";
  }
  std::string text =
      fmt::format("; it remembered the flow as {}, used {} ms ago", remembered,
                  Get("remembered_ms"));
  if (!Get("remembered_agent").empty()) {
    text += " at agent " + GetNode("remembered_agent");
  }
  return text + GetOptional(", with the target started at ", "remembered_born");
}

auto LineReader::DescribeOffer() const -> std::string {
  if (Get("opening").empty()) {
    return fmt::format("relays a packet to agent {} as service {}: {}",
                       GetNode("agent"), GetService("service"),
                       DescribeReason(line_));
  }
  std::string text = fmt::format("offers {} to agent {} as service {}: {}",
                                 DescribeOpening(), GetNode("agent"),
                                 GetService("service"), DescribeReason(line_));
  text += GetOptional(", score ", "score");
  text += Get("route").empty()
              ? fmt::format("; routes version {}", Get("version"))
              : fmt::format("; BUT routes version {} lead to {}",
                            Get("version"), GetService("route"));
  text += Get("record") == "none"
              ? std::string("; it has no record of the agent")
              : fmt::format(
                    "; the agent's record: service {}, target started "
                    "at {}",
                    GetService("record"), Get("born"));
  return text + DescribeMemory();
}

auto LineReader::DescribeTargetOfLine() const -> std::string {
  std::string text = fmt::format(
      "target {} (started at {}, {}{})", Get("target"), Get("born"),
      Get("state"), GetOptional(", heartbeat ", "heartbeat_ms", " ms ago"));
  text += fmt::format(" of service {}", GetService("own"));
  if (Get("service") != Get("own")) {
    text += fmt::format("; BUT balancer {} named service {}", GetNode("from"),
                        GetService("service"));
  }
  const Text known = Get("known");
  if (known == "accepted" || known == "unaccepted") {
    text += fmt::format(
        "; it knew the flow as {}, {} ms ago{}", known, Get("known_ms"),
        GetOptional(", of the target started at ", "known_born"));
  }
  return text;
}

auto LineReader::DescribeReturn() const -> std::string {
  if (Get("opening").empty()) {
    return fmt::format("returns a packet to the balancer: {}",
                       DescribeReason(line_));
  }
  return fmt::format("returns {} to balancer {}: {}; {} of {} requests; {}",
                     DescribeOpening(), GetNode("from"), DescribeReason(line_),
                     Get("running"), Get("slots"), DescribeTargetOfLine());
}

auto LineReader::DescribeFlowEvent() const -> std::string {
  const Text event = line_.event;
  if (event == "flow_relayed") {
    return DescribeOffer();
  }
  if (event == "flow_opened" || event == "opening_delivered") {
    return fmt::format("sends {}{} to {}",
                       event == "flow_opened" ? "" : "a copy of ",
                       DescribeOpening(), DescribeTargetOfLine());
  }
  if (event == "flow_sent_back") {
    return DescribeReturn();
  }
  if (event == "return_ignored") {
    return fmt::format(
        "ignores {} that agent {} returned: it was confirmed or "
        "refused before",
        DescribeOpening(), GetNode("agent"));
  }
  if (event == "flow_confirmed") {
    return fmt::format(
        "learns from agent {} that it has the flow{}, after {} "
        "us",
        GetNode("agent"), GetOptional(", opening ", "opening"), Get("took_us"));
  }
  if (event == "flow_looked_for") {
    return fmt::format("asks {} agents for the flow, {} first", Get("agents"),
                       GetNode("first"));
  }
  if (event == "flow_offered") {
    return "sends its target a packet of a flow that it doesn't know";
  }
  if (event == "flow_reset" || event == "packet_dropped") {
    return fmt::format(
        "{}: {}{}{}",
        event == "flow_reset" ? "resets the caller" : "drops a packet",
        DescribeReason(line_), GetOptional(", opening ", "opening"),
        Get("route").empty() ? "" : ", route to " + GetService("route"));
  }
  if (event == "events_counted") {
    return fmt::format(
        "wrote no line for {} events {} ({}) of the {} ms "
        "before: lines may be missing",
        Get("count"), Get("name"), Get("reason"), Get("span_ms"));
  }
  return {};
}

auto LineReader::DescribeNodeEvent() const -> std::string {
  const Text event = line_.event;
  if (event == "host_changed") {
    return fmt::format(
        "learns of {} {}: service {}, target {} started at "
        "{}{}",
        Get("role"), GetNode("host"), GetService("service"), Get("target"),
        Get("born"), Get("leaving") == "true" ? ", leaving" : "");
  }
  if (event == "routes_in_force") {
    return fmt::format("puts routes version {} in force, from {}",
                       Get("version"), Get("source"));
  }
  if (event == "start") {
    return fmt::format("STARTS as {} at {} in zone {}", Get("role"),
                       Get("control"), Get("zone"));
  }
  if (event == "stopping" || event == "stop") {
    return event == "stop" ? "ENDS" : "is told to stop";
  }
  if (event == "identity_changed") {
    return fmt::format(
        "BECOMES another node: service {} at {}, before {} at "
        "{}",
        GetService("service"), Get("control"), GetService("before_service"),
        Get("before_control"));
  }
  if (event == "heartbeat_ignored") {
    return fmt::format(
        "ignores a heartbeat ({}) of {}, service {}, started at {}; present "
        "target {}, service {}, started at {}",
        Get("outcome"), Get("id"), GetService("service"), Get("born"),
        Get("present_id"), GetService("own"), Get("present_born"));
  }
  if (event.starts_with("target_")) {
    return fmt::format("{}: target {} is {}, started at {}", event, Get("id"),
                       Get("state"), Get("born"));
  }
  if (event == "zones_out_of_service") {
    return fmt::format("zones out of service: \"{}\"", Get("zones"));
  }
  return {};
}

}  // namespace

auto DescribeLogLine(const LogLine& line, const LogDirectory& directory)
    -> std::string {
  if (line.kind == kDisruptionKind) {
    return fmt::format("*** {}", FindField(line, "detail"));
  }
  if (line.kind == kViolationKind) {
    return fmt::format("*** BROKEN {}: {}", line.event,
                       FindField(line, "detail"));
  }
  if (line.kind == kCallerKind) {
    return fmt::format("{} {}", line.event, FindField(line, "detail"));
  }
  const LineReader reader(line, directory);
  std::string text = reader.DescribeFlowEvent();
  if (text.empty()) {
    text = reader.DescribeNodeEvent();
  }
  return text.empty() ? fmt::format("{}{}", line.event, line.fields) : text;
}

}  // namespace hawthornbank::transport
