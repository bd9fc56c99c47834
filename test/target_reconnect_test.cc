// Replays callers that reconnect together to a cold target after a loss of
// power, in virtual time: copies of openings that were sent while all hosts
// were down, beside callers whose first packet comes after the restart.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <utility>
#include <vector>

#include "hawthornbank/random.h"
#include "hawthornbank/target_flows.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kService = 77;
constexpr std::size_t kSlots = 5;
constexpr std::size_t kQueuePlaces = 20;
constexpr std::uint32_t kMaxTries = 3;
constexpr auto kRoundTrip = 10ms;
constexpr auto kGoal = 200ms;
constexpr auto kDeadline = 1200ms;
constexpr auto kRetryDelay = 50ms;
constexpr auto kDuration = 1500ms;
// Mean work of 64 ms: the target has room for 78 requests a second.
constexpr int kMinWorkMs = 40;
constexpr int kMaxWorkMs = 88;
constexpr double kNewCallersPerSecond = 53;
constexpr int kWaitingCallers = 60;
const TimePoint kStart{std::chrono::seconds{1000}};

struct Caller {
  TimePoint first_sent_at{};
  std::uint32_t tries = 0;
};

struct Outcome {
  int asked = 0;
  int in_goal = 0;
  int answered = 0;
};

struct Reconnect {
  TargetFlows target{.options = {.service = kService},
                     .status = {.state = TargetState::kReady,
                                .started_at_ms = 500,
                                .slots = kSlots,
                                .cold = true},
                     .knows_all_flows = true,
                     .averaged_at = kStart};
  Random random{11};
  TimePoint now = kStart;
  std::vector<Caller> callers;  // By the address of the try's caller.
  std::vector<std::pair<TimePoint, Caller>> openings;
  std::vector<std::pair<TimePoint, std::uint32_t>> requests;
  std::vector<std::pair<TimePoint, std::uint32_t>> running;
  std::deque<std::uint32_t> queue;
  std::vector<TargetAction> out;
  Outcome new_callers;
  Outcome waiting_callers;
  std::size_t longest_queue = 0;

  static auto MakePacket(std::uint32_t caller, bool from_target) -> FlowPacket {
    const Endpoint source{.address = caller, .port = 4000};
    const Endpoint address{.address = 9, .port = 443};
    return FlowPacket{.source = from_target ? address : source,
                      .destination = from_target ? source : address,
                      .has_acknowledgement = true};
  }

  static auto MakeHeader() -> RelayHeader {
    return RelayHeader{.origin = {.address = 1, .port = 7000},
                       .service = kService,
                       .is_last_candidate = true,
                       .terms = FlowTerms{.priority = 2,
                                          .goal_ms = kGoal.count(),
                                          .timeout_ms = kDeadline.count()}};
  }

  auto GetOutcome(const Caller& caller) -> Outcome& {
    return caller.first_sent_at >= kStart ? new_callers : waiting_callers;
  }

  auto Open(Caller caller) -> void {
    const auto address = static_cast<std::uint32_t>(callers.size());
    callers.push_back(caller);
    FlowPacket packet = MakePacket(address, false);
    packet.is_opening = true;
    // While the hosts were down the caller has sent its packet before.
    packet.acknowledgement =
        caller.tries == 0 && caller.first_sent_at < kStart ? 1 : 0;
    OnRelayedPacket(target, MakeHeader(), packet, std::vector<std::uint8_t>(32),
                    now, out);
    const bool is_rejected = out.front().kind == TargetAction::Kind::kReset;
    out.clear();
    ++caller.tries;
    if (is_rejected) {
      if (caller.tries < kMaxTries) {
        openings.emplace_back(now + kRetryDelay * caller.tries, caller);
      }
      return;
    }
    OnTargetPacket(target, MakePacket(address, true), now, out);
    out.clear();
    callers[address] = caller;
    requests.emplace_back(now + kRoundTrip, address);
  }

  auto SendRequest(std::uint32_t address) -> void {
    FlowPacket packet = MakePacket(address, false);
    packet.data_bytes = 100;
    OnRelayedPacket(target, MakeHeader(), packet, std::vector<std::uint8_t>(32),
                    now, out);
    if (out.front().kind == TargetAction::Kind::kDeliver) {
      GiveToTarget(address);
    }
    GiveHandedOverRequests();
  }

  // Requests beyond the queue are refused, and their callers give up.
  auto GiveToTarget(std::uint32_t address) -> void {
    if (queue.size() < kQueuePlaces) {
      queue.push_back(address);
    }
    longest_queue = std::max(longest_queue, queue.size());
  }

  auto GiveHandedOverRequests() -> void {
    for (const TargetAction& it : out) {
      if (it.reason == TargetReason::kHandedOver) {
        GiveToTarget(it.flow.caller.address);
      }
    }
    out.clear();
    while (!queue.empty() && running.size() < kSlots) {
      const auto work = std::chrono::milliseconds{
          kMinWorkMs + static_cast<int>(DrawRandomFraction(random) *
                                        (kMaxWorkMs - kMinWorkMs))};
      running.emplace_back(now + work, queue.front());
      queue.pop_front();
    }
  }

  auto Answer(std::uint32_t address) -> void {
    const Duration took = now - callers[address].first_sent_at;
    Outcome& outcome = GetOutcome(callers[address]);
    outcome.answered += took <= kDeadline ? 1 : 0;
    outcome.in_goal += took <= kGoal ? 1 : 0;
    FlowPacket packet = MakePacket(address, true);
    packet.data_bytes = 400;
    OnTargetPacket(target, packet, now, out);
    GiveHandedOverRequests();
  }

  template <class Entry, class Handler>
  auto HandleDue(std::vector<std::pair<TimePoint, Entry>>& entries,
                 const Handler& handle) -> void {
    for (std::size_t n = 0; n < entries.size();) {
      if (entries[n].first > now) {
        ++n;
        continue;
      }
      const Entry due = entries[n].second;
      entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(n));
      handle(due);
    }
  }

  auto Replay() -> void {
    target.order.seen_priorities.set(1);
    for (int n = 0; n < kWaitingCallers; ++n) {
      const auto copy_at = std::chrono::milliseconds{n};
      openings.emplace_back(
          kStart + copy_at,
          Caller{.first_sent_at =
                     kStart + copy_at - (n % 2 == 0 ? 200ms : 600ms)});
    }
    waiting_callers.asked = kWaitingCallers;
    for (int step = 0; now < kStart + kDuration; now += 1ms, ++step) {
      HandleDue(running, [this](std::uint32_t it) { Answer(it); });
      HandleDue(openings, [this](const Caller& it) { Open(it); });
      HandleDue(requests, [this](std::uint32_t it) { SendRequest(it); });
      if (DrawRandomFraction(random) < kNewCallersPerSecond / 1000) {
        ++new_callers.asked;
        Open(Caller{.first_sent_at = now});
      }
      if (step % 10 == 0) {
        OnTargetTick(target, now, out);
        GiveHandedOverRequests();
        ExpireFlowsAndRequests(target, now);
      }
    }
  }
};

}  // namespace

TEST_GROUP(TargetReconnect){};

// The target has room for all new callers and a third more.
TEST(TargetReconnect, NewCallersAreServedInTimeWhileOthersReconnect) {
  Reconnect reconnect;
  reconnect.Replay();
  CHECK(reconnect.new_callers.in_goal >= 0.75 * reconnect.new_callers.asked);
  // Places of 12.8 ms each: a longer queue takes the rest of the goal.
  CHECK(reconnect.longest_queue <= 10);
  CHECK(reconnect.waiting_callers.answered > 0);
}
