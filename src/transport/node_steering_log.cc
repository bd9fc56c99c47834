#include "transport/node_steering_log.h"

#include <chrono>
#include <iterator>

namespace hawthornbank::transport {
namespace {

using Line = fmt::memory_buffer;

auto CountMilliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto DescribeEvent(std::string_view name, const SteeringAction& action)
    -> FlowEvent {
  return {.name = name, .flow = action.flow, .reason = ToString(action.reason)};
}

// Returns the service that the routes in force lead a new flow to, or 0.
auto FindConfiguredService(const Steering& steering, const FlowKey& flow)
    -> std::uint32_t {
  const Route* const route = FindRoute(steering.routes, flow.address);
  return route == nullptr ? 0 : ChooseService(*route, HashFlow(flow));
}

auto AppendOpening(const SteeredOpening& opening, Line& line) -> void {
  fmt::format_to(std::back_inserter(line), "opening={} copy={}",
                 opening.sequence, opening.copy);
}

// Appends the service that the agent is told, and the configured one if it is
// another.
auto AppendServices(const SteeringLogContext& context,
                    const SteeringAction& action,
                    Line& line) -> void {
  const std::uint32_t service = action.header.service;
  const std::uint32_t configured =
      FindConfiguredService(context.steering, action.flow);
  line.append(std::string_view(" service="));
  AppendService(context.services, service, line);
  if (configured != service) {
    line.append(std::string_view(" route="));
    AppendService(context.services, configured, line);
  }
}

// Appends the record of the agent that the packet is relayed to.
auto AppendRecord(const SteeringLogContext& context,
                  const HostRecord* record,
                  Line& line) -> void {
  line.append(std::string_view(" record="));
  if (record == nullptr) {
    line.append(std::string_view("none"));
    return;
  }
  AppendService(context.services, record->service, line);
  fmt::format_to(std::back_inserter(line), " incarnation={} born={}",
                 record->incarnation, record->target.started_at_ms);
}

// Appends what the balancer remembered of the flow, and the agent and the
// target's start where they differ from the present ones.
auto AppendMemory(const SteeredFlow& flow,
                  Endpoint agent,
                  const HostRecord* record,
                  TimePoint now,
                  Line& line) -> void {
  fmt::format_to(std::back_inserter(line), " remembered={} remembered_ms={}",
                 flow.confirmed ? "confirmed" : "unconfirmed",
                 CountMilliseconds(now - flow.last_used));
  if (flow.agent != agent) {
    line.append(std::string_view(" remembered_agent="));
    AppendEndpoint(flow.agent, line);
  }
  if (record == nullptr ||
      flow.target_started_at_ms != record->target.started_at_ms) {
    fmt::format_to(std::back_inserter(line), " remembered_born={}",
                   flow.target_started_at_ms);
  }
}

auto AppendRelayedOpening(const SteeringLogContext& context,
                          const SteeringAction& action,
                          const SteeredOpening& opening,
                          TimePoint now,
                          Line& line) -> void {
  const auto host = context.steering.fleet.hosts.find(action.to);
  const HostRecord* const record = host == context.steering.fleet.hosts.end()
                                       ? nullptr
                                       : &host->second.record;
  AppendOpening(opening, line);
  line.append(std::string_view(" agent="));
  AppendEndpoint(action.to, line);
  AppendServices(context, action, line);
  AppendRecord(context, record, line);
  if (opening.remembered.has_value()) {
    AppendMemory(*opening.remembered, action.to, record, now, line);
  } else if (opening.is_from_caller) {
    line.append(std::string_view(" remembered=no"));
  }
  fmt::format_to(std::back_inserter(line), " asked={}",
                 action.header.returned_by.size());
  if (action.reason != SteeringReason::kDuplicateOpening) {
    fmt::format_to(std::back_inserter(line), " score={:.2f} load_age_ms={}",
                   action.load_score, CountMilliseconds(action.load_age));
  }
  fmt::format_to(std::back_inserter(line), " version={}",
                 context.steering.routes.version);
}

auto LogRelay(EventLog& log,
              const SteeringLogContext& context,
              const SteeringAction& action,
              const std::optional<SteeredOpening>& opening,
              TimePoint now) -> void {
  const FlowEvent event = DescribeEvent("flow_relayed", action);
  if (opening.has_value()) {
    log.AppendFlowEvent(EventKind::kOpening, now, event, [&](Line& line) {
      AppendRelayedOpening(context, action, *opening, now, line);
    });
  } else if (action.reason != SteeringReason::kKnownFlow) {
    log.AppendFlowEvent(EventKind::kFlow, now, event, [&](Line& line) {
      line.append(std::string_view("agent="));
      AppendEndpoint(action.to, line);
      AppendServices(context, action, line);
      fmt::format_to(std::back_inserter(line), " asked={} version={}",
                     action.header.returned_by.size(),
                     context.steering.routes.version);
    });
  }
}

auto LogRefusal(EventLog& log,
                const SteeringLogContext& context,
                const SteeringAction& action,
                const std::optional<SteeredOpening>& opening,
                TimePoint now) -> void {
  const bool is_reset = action.kind == SteeringAction::Kind::kReset;
  log.AppendFlowEvent(
      EventKind::kRefusal, now,
      DescribeEvent(is_reset ? "flow_reset" : "packet_dropped", action),
      [&](Line& line) {
        if (opening.has_value()) {
          AppendOpening(*opening, line);
          line.append(std::string_view(" route="));
          AppendService(context.services,
                        FindConfiguredService(context.steering, action.flow),
                        line);
          line.push_back(' ');
        }
        fmt::format_to(std::back_inserter(line), "version={}",
                       context.steering.routes.version);
        if (is_reset) {
          return;
        }
        fmt::format_to(std::back_inserter(line),
                       " agents_known_ms={} silent={} first=",
                       (now - context.steering.fleet.knows_agents_since) /
                           std::chrono::milliseconds{1},
                       action.receivers.size());
        if (action.receivers.empty()) {
          line.push_back('-');
        } else {
          AppendEndpoint(action.receivers.front(), line);
        }
      });
}

auto LogQuery(EventLog& log,
              const SteeringLogContext& context,
              const SteeringAction& action,
              TimePoint now) -> void {
  log.AppendFlowEvent(
      EventKind::kFlow, now, {.name = "flow_looked_for", .flow = action.flow},
      [&](Line& line) {
        fmt::format_to(std::back_inserter(line),
                       "agents={} first=", action.receivers.size());
        AppendEndpoint(action.receivers.front(), line);
        fmt::format_to(std::back_inserter(line), " version={}",
                       context.steering.routes.version);
      });
}

}  // namespace

auto DescribeCallerOpening(const Steering& steering, const FlowPacket& packet)
    -> std::optional<SteeredOpening> {
  if (!packet.is_opening) {
    return std::nullopt;
  }
  SteeredOpening opening{.flow = ExtractCallerFlowKey(packet),
                         .sequence = packet.sequence,
                         .copy = packet.acknowledgement,
                         .is_from_caller = true};
  const auto known = steering.flows.find(opening.flow);
  if (known != steering.flows.end()) {
    opening.remembered = known->second;
  }
  return opening;
}

auto DescribeStoredOpening(const std::optional<FlowPacket>& packet)
    -> std::optional<SteeredOpening> {
  return packet.has_value() && packet->is_opening
             ? std::optional(
                   SteeredOpening{.flow = ExtractCallerFlowKey(*packet),
                                  .sequence = packet->sequence,
                                  .copy = packet->acknowledgement})
             : std::nullopt;
}

auto LogSteeringAction(EventLog& log,
                       const SteeringLogContext& context,
                       const SteeringAction& action,
                       const std::optional<SteeredOpening>& opening,
                       TimePoint now) -> void {
  switch (action.kind) {
    case SteeringAction::Kind::kRelay:
      LogRelay(log, context, action, opening, now);
      break;
    case SteeringAction::Kind::kQuery:
      LogQuery(log, context, action, now);
      break;
    case SteeringAction::Kind::kReset:
    case SteeringAction::Kind::kDrop:
      LogRefusal(log, context, action, opening, now);
      break;
  }
}

auto FindPendingOpening(const Steering& steering, const FlowKey& flow)
    -> std::optional<std::uint32_t> {
  const auto it = steering.openings.find(flow);
  return it == steering.openings.end() ? std::nullopt
                                       : std::optional(it->second.sequence);
}

auto LogConfirmation(EventLog& log,
                     const FlowReply& reply,
                     std::optional<std::uint32_t> opening,
                     Duration took,
                     TimePoint now) -> void {
  log.AppendFlowEvent(
      EventKind::kFlow, now, {.name = "flow_confirmed", .flow = reply.flow},
      [&](Line& line) {
        if (opening.has_value()) {
          fmt::format_to(std::back_inserter(line), "opening={} ", *opening);
        }
        line.append(std::string_view("agent="));
        AppendEndpoint(reply.agent, line);
        fmt::format_to(
            std::back_inserter(line), " took_us={}",
            std::chrono::duration_cast<std::chrono::microseconds>(took)
                .count());
      });
}

auto LogIgnoredReturn(EventLog& log,
                      const SteeringLogContext& context,
                      Endpoint agent,
                      const RelayHeader& header,
                      const FlowPacket& packet,
                      TimePoint now) -> void {
  log.AppendFlowEvent(EventKind::kOpening, now,
                      {.name = "return_ignored",
                       .flow = ExtractCallerFlowKey(packet),
                       .reason = "settled"},
                      [&](Line& line) {
                        fmt::format_to(std::back_inserter(line),
                                       "opening={} copy={} agent=",
                                       packet.sequence, packet.acknowledgement);
                        AppendEndpoint(agent, line);
                        line.append(std::string_view(" service="));
                        AppendService(context.services, header.service, line);
                      });
}

}  // namespace hawthornbank::transport
