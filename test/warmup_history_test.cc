#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "hawthornbank/random.h"
#include "hawthornbank/target_flows.h"
#include "hawthornbank/target_presence.h"

/// @file
/// Random histories of an agent and its target: openings of several balancers,
/// requests on open flows, restarts of target and agent.

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kService = 77;
constexpr std::uint16_t kLimit = 17;
constexpr Duration kWarmupTime = std::chrono::seconds{5};
constexpr Duration kStep = std::chrono::milliseconds{1};
constexpr Duration kDay = std::chrono::seconds{40};
const TimePoint kStart{std::chrono::seconds{1000}};
const Endpoint kAddress{.address = 0xC6120001, .port = 443};

// What the target took while it was cold.
struct ColdSpan {
  TimePoint from{};
  std::vector<TimePoint> openings;
  std::vector<TimePoint> requests;  ///< Requests on flows that were open.
};

struct History {
  Random random{1};
  TargetFlows target;
  TargetPresence presence{.service = "s"};
  std::vector<ColdSpan> spans;
  std::vector<FlowKey> open;
  TimePoint target_up_at{};  ///< Start of the target, or its next start.
  TimePoint next_heartbeat{};
  TimePoint agent_up_at{};
  std::uint64_t started_at_ms = 1;
  std::uint64_t sequence = 0;
  std::uint32_t next_caller = 1;
  std::vector<TargetAction> out;
};

auto Draw(History& history, std::uint32_t bound) -> std::uint32_t {
  return std::min(bound - 1, static_cast<std::uint32_t>(
                                 DrawRandomFraction(history.random) * bound));
}

auto IsTargetUp(const History& history, TimePoint now) -> bool {
  return now >= history.target_up_at;
}

auto IsCold(const History& history, TimePoint now) -> bool {
  return IsTargetUp(history, now) && now < history.target_up_at + kWarmupTime;
}

auto StartAgent(History& history, TimePoint now) -> void {
  history.target = TargetFlows{.options = {.service = kService,
                                           .self = {.address = 1, .port = 7000},
                                           .max_running_per_slot = 1e9,
                                           .max_flows = 1'000'000},
                               .averaged_at = now,
                               .warmup = {.counting_since = now}};
  history.presence = TargetPresence{.service = "s"};
  history.agent_up_at = now;
}

auto StartTarget(History& history, TimePoint up_at) -> void {
  history.target_up_at = up_at;
  history.next_heartbeat =
      up_at + std::chrono::milliseconds{Draw(history, 200)};
  ++history.started_at_ms;
  history.sequence = 0;
  history.open.clear();
  history.spans.push_back({.from = up_at});
}

auto SendHeartbeat(History& history, TimePoint now) -> void {
  const Duration left =
      std::max(history.target_up_at + kWarmupTime - now, Duration::zero());
  const auto outcome = OnTargetHeartbeat(
      history.presence,
      TargetHeartbeat{
          .id = "i",
          .service = "s",
          .started_at_ms = history.started_at_ms,
          .sequence = ++history.sequence,
          .state = TargetState::kReady,
          .slots = 4,
          .warmup_ms = static_cast<std::uint32_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(left)
                  .count())},
      now);
  history.target.knows_all_flows = history.presence.knows_all_flows;
  SetWarmupEnd(history.target.warmup, history.presence.warm_at,
               history.presence.last_heartbeat_at);
  if (outcome == PresenceOutcome::kChanged ||
      outcome == PresenceOutcome::kRestarted) {
    ApplyTargetStatus(history.target, history.presence.status, now,
                      history.out);
  } else if (outcome == PresenceOutcome::kReplaced) {
    ApplyReplacedTarget(history.target, history.presence.status,
                        history.presence.first_heard_at, now);
  }
  history.next_heartbeat =
      now + 800ms + std::chrono::milliseconds{Draw(history, 400)};
}

auto RelayPacket(History& history,
                 const FlowKey& flow,
                 bool is_opening,
                 TimePoint now) -> TargetReason {
  const RelayHeader header{
      .origin = {.address = 100 + Draw(history, 4), .port = 7000},
      .service = kService,
      .is_last_candidate = Draw(history, 2) == 0,
      .returned_by = std::vector<std::uint32_t>(Draw(history, 4), 9),
      .terms = FlowTerms{.warmup_limit = kLimit}};
  history.out.clear();
  OnRelayedPacket(history.target, header,
                  FlowPacket{.source = flow.caller,
                             .destination = flow.address,
                             .is_opening = is_opening,
                             .data_bytes = static_cast<std::uint16_t>(
                                 is_opening ? 0 : 100)},
                  {}, now, history.out);
  return history.out.front().reason;
}

// Lets the target answer a packet if it is up.
auto AnswerPacket(History& history,
                  const FlowKey& flow,
                  bool is_opening,
                  TimePoint now) -> void {
  history.out.clear();
  OnTargetPacket(
      history.target,
      FlowPacket{.source = flow.address,
                 .destination = flow.caller,
                 .is_opening = is_opening,
                 .has_acknowledgement = true,
                 .data_bytes = static_cast<std::uint16_t>(is_opening ? 0 : 10)},
      now, history.out);
}

auto SendOpening(History& history, TimePoint now) -> void {
  const FlowKey flow{.caller = {.address = history.next_caller++, .port = 4000},
                     .address = kAddress};
  if (RelayPacket(history, flow, true, now) != TargetReason::kOpened ||
      !IsTargetUp(history, now)) {
    return;
  }
  if (IsCold(history, now)) {
    history.spans.back().openings.push_back(now);
  }
  AnswerPacket(history, flow, true, now);
  RelayPacket(history, flow, false, now);
  AnswerPacket(history, flow, false, now);
  if (Draw(history, 20) == 0) {
    history.open.push_back(flow);
  }
}

auto SendRequestOnOpenFlow(History& history, TimePoint now) -> void {
  if (history.open.empty() || !IsTargetUp(history, now)) {
    return;
  }
  const FlowKey flow =
      history
          .open[Draw(history, static_cast<std::uint32_t>(history.open.size()))];
  RelayPacket(history, flow, false, now);
  AnswerPacket(history, flow, false, now);
  if (IsCold(history, now)) {
    history.spans.back().requests.push_back(now);
  }
}

auto PlayHistory(History& history, bool has_restarts) -> void {
  StartAgent(history, kStart);
  StartTarget(history, kStart);
  SendHeartbeat(history, kStart);
  for (TimePoint now = kStart; now < kStart + kDay; now += kStep) {
    history.out.clear();
    OnTargetTick(history.target, now, history.out);
    if (now >= history.next_heartbeat && IsTargetUp(history, now)) {
      SendHeartbeat(history, now);
    }
    // Bursts of up to 39 openings; 390 a second on average.
    if (Draw(history, 50) == 0) {
      for (auto left = Draw(history, 40); left > 0; --left) {
        SendOpening(history, now);
      }
    }
    if (Draw(history, 200) == 0) {
      SendRequestOnOpenFlow(history, now);
    }
    if (has_restarts && Draw(history, 4000) == 0) {
      StartAgent(history, now);
    }
    if (has_restarts && Draw(history, 9000) == 0) {
      StartTarget(history,
                  now + 500ms + std::chrono::milliseconds{Draw(history, 1000)});
    }
  }
}

// Returns the largest number of requests in any span of one second.
auto FindBusiestSecond(const std::vector<TimePoint>& requests) -> std::size_t {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < requests.size(); ++last) {
    while (requests[last] - requests[first] > 1s) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace

TEST_GROUP(WarmupHistory){};

TEST(WarmupHistory, NoSecondExceedsTheLimit) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    History history{.random = Random{seed}};
    PlayHistory(history, true);
    for (const auto& it : history.spans) {
      CHECK_TEXT(FindBusiestSecond(it.openings) <= kLimit,
                 ("seed " + std::to_string(seed)).c_str());
    }
  }
}

TEST(WarmupHistory, NineTenthsOfTheLimitAreServedWhileWorkWaits) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    History history{.random = Random{seed}};
    PlayHistory(history, false);
    const ColdSpan& span = history.spans.front();
    const double seconds = std::chrono::duration<double>(kWarmupTime).count();
    const auto served =
        static_cast<double>(span.openings.size() + span.requests.size());
    CHECK_TEXT(served >= 0.9 * kLimit * seconds,
               ("seed " + std::to_string(seed)).c_str());
  }
}
