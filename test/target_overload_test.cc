// Replays callers of two priorities that ask an agent's target for more than
// its room, in virtual time, with and without terms of their flows. Without
// terms the target's queue alone decides, which is the baseline.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <set>

#include "hawthornbank/random.h"
#include "hawthornbank/target_flows.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kService = 77;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kQueuePlaces = 10;
constexpr double kRoomPerSecond = 100;  // Slots / mean work of 30 ms.
constexpr std::uint32_t kMaxTries = 3;
constexpr auto kGoal = 300ms;
constexpr auto kTimeout = 1200ms;
constexpr auto kDuration = 20s;
const TimePoint kStart{std::chrono::seconds{1000}};

// A kind of requests.
struct Load {
  std::uint8_t priority = 1;
  double per_second = 0;
};

struct Outcome {
  std::size_t asked = 0;
  std::size_t in_goal = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;

  auto GetShareInGoal() const -> double {
    return asked == 0
               ? 1
               : static_cast<double>(in_goal) / static_cast<double>(asked);
  }
};

// A request of a caller; each try uses a flow of its own.
struct Request {
  std::size_t kind = 0;
  std::uint32_t tries = 0;
  TimePoint first_sent_at{};
};

struct Overload {
  std::vector<Load> loads;
  bool sends_terms = true;
  double work_factor = 1;
  TargetFlows target{
      .options = {.service = kService, .closed_flow_retention = 100ms},
      .status = {.state = TargetState::kReady,
                 .started_at_ms = 500,
                 .slots = kSlots},
      .knows_all_flows = true,
      .averaged_at = kStart};
  Random random{7};
  TimePoint now = kStart;
  std::vector<Request> requests;  // By the address of the try's caller.
  std::deque<std::uint32_t> queue;
  std::vector<std::pair<TimePoint, std::uint32_t>> running;
  std::vector<std::pair<TimePoint, Request>> retries;
  std::vector<std::pair<TimePoint, std::uint32_t>> replies;
  std::set<std::uint32_t> refusals;
  std::vector<Outcome> outcomes;
  std::vector<TargetAction> out;
  std::size_t idle_while_waiting = 0;

  auto MakePacket(std::uint32_t flow, bool from_target) const -> FlowPacket {
    const Endpoint caller{.address = flow, .port = 4000};
    const Endpoint address{.address = 9, .port = 443};
    return FlowPacket{.source = from_target ? address : caller,
                      .destination = from_target ? caller : address,
                      .has_acknowledgement = true};
  }

  auto MakeHeader(const Request& request) const -> RelayHeader {
    RelayHeader header{.origin = {.address = 1, .port = 7000},
                       .service = kService,
                       .is_last_candidate = true,
                       // The replayed requests are sent on open flows.
                       .may_be_accepted = true};
    if (sends_terms) {
      header.terms = FlowTerms{.priority = loads[request.kind].priority,
                               .goal_ms = kGoal.count(),
                               .timeout_ms = kTimeout.count()};
    }
    return header;
  }

  // Opens a flow, which the target accepts at once, and sends the request.
  auto SendRequest(Request request) -> void {
    ++request.tries;
    const auto flow = static_cast<std::uint32_t>(requests.size());
    requests.push_back(request);
    const std::vector<std::uint8_t> bytes(100, 1);
    const RelayHeader header = MakeHeader(request);
    FlowPacket packet = MakePacket(flow, false);
    packet.is_opening = true;
    OnRelayedPacket(target, header, packet, bytes, now, out);
    OnTargetPacket(target, MakePacket(flow, true), now, out);
    DeliverToTarget(false);
    packet.is_opening = false;
    packet.data_bytes = 100;
    OnRelayedPacket(target, header, packet, bytes, now, out);
    DeliverToTarget(true);
  }

  // Gives the target the requests among the actions. `delivers_request` tells
  // whether a packet that hasn't waited carries one.
  auto DeliverToTarget(bool delivers_request) -> void {
    for (const TargetAction& action : out) {
      if (action.reason != TargetReason::kHandedOver &&
          !(delivers_request && action.reason == TargetReason::kDelivered)) {
        continue;
      }
      const std::uint32_t flow = action.flow.caller.address;
      if (queue.size() >= kQueuePlaces && running.size() >= kSlots) {
        refusals.insert(flow);
        replies.emplace_back(now + 1ms, flow);
      } else {
        queue.push_back(flow);
      }
    }
    out.clear();
    StartQueued();
  }

  auto StartQueued() -> void {
    while (!queue.empty() && running.size() < kSlots) {
      const double work_ms =
          work_factor * (15 + 30 * DrawRandomFraction(random));
      running.emplace_back(
          now + std::chrono::microseconds{static_cast<int>(work_ms * 1000)},
          queue.front());
      queue.pop_front();
    }
  }

  auto ReceiveReply(std::uint32_t flow) -> void {
    FlowPacket packet = MakePacket(flow, true);
    packet.data_bytes = 400;
    const Request& request = requests[flow];
    Outcome& outcome = outcomes[request.kind];
    if (refusals.contains(flow)) {
      ++outcome.refused;
      if (request.tries < kMaxTries) {
        retries.emplace_back(now + 50ms * request.tries, request);
      }
    } else if (now - request.first_sent_at <= kTimeout) {
      ++outcome.answered;
      outcome.in_goal += now - request.first_sent_at <= kGoal;
    }
    OnTargetPacket(target, packet, now, out);
    DeliverToTarget(true);
    FlowPacket reset = MakePacket(flow, false);
    reset.is_reset = true;
    OnRelayedPacket(target, MakeHeader(request), reset, {}, now, out);
    DeliverToTarget(false);
  }

  // Calls `handle` for the due entries of a list and removes them.
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

  auto Replay() -> std::vector<Outcome> {
    outcomes.resize(loads.size());
    int step = 0;
    for (; now < kStart + kDuration; now += 1ms) {
      HandleDue(running, [this](std::uint32_t flow) { ReceiveReply(flow); });
      HandleDue(replies, [this](std::uint32_t flow) { ReceiveReply(flow); });
      HandleDue(retries,
                [this](const Request& request) { SendRequest(request); });
      for (std::size_t kind = 0; kind < loads.size(); ++kind) {
        if (DrawRandomFraction(random) < loads[kind].per_second / 1000) {
          ++outcomes[kind].asked;
          SendRequest(Request{.kind = kind, .first_sent_at = now});
        }
      }
      if (++step % 10 == 0) {
        OnTargetTick(target, now, out);
        DeliverToTarget(true);
        ExpireFlowsAndRequests(target, now);
      }
      idle_while_waiting +=
          !target.order.waiting.empty() && running.size() < kSlots;
    }
    return outcomes;
  }
};

auto ReplayOverload(const std::vector<Load>& loads,
                    bool sends_terms,
                    double work_factor = 1) -> std::vector<Outcome> {
  Overload overload{
      .loads = loads, .sends_terms = sends_terms, .work_factor = work_factor};
  const auto outcomes = overload.Replay();
  LONGS_EQUAL(0, overload.idle_while_waiting);
  return outcomes;
}

// Loads of two priorities that sum to `times` the target's room.
auto MakeLoads(double times) -> std::vector<Load> {
  const double urgent = 0.4 * kRoomPerSecond;
  return {{.priority = 1, .per_second = urgent},
          {.priority = 2, .per_second = times * kRoomPerSecond - urgent}};
}

auto CountInGoal(const std::vector<Outcome>& outcomes) -> std::size_t {
  std::size_t count = 0;
  for (const Outcome& outcome : outcomes) {
    count += outcome.in_goal;
  }
  return count;
}

auto CountAnswers(const std::vector<Outcome>& outcomes) -> std::size_t {
  std::size_t count = 0;
  for (const Outcome& outcome : outcomes) {
    count += outcome.answered;
  }
  return count;
}

}  // namespace

TEST_GROUP(TargetOverload){};

TEST(TargetOverload, UrgentRequestsAreServedInTimeAtThreeTimesTheRoom) {
  const auto before = ReplayOverload(MakeLoads(3), false);
  const auto after = ReplayOverload(MakeLoads(3), true);
  CHECK(before[0].GetShareInGoal() < 0.8);
  CHECK(after[0].GetShareInGoal() >= 0.95);
  CHECK(CountAnswers(after) >= CountAnswers(before) * 0.99);
  CHECK(CountInGoal(after) >= CountInGoal(before) * 0.97);
}

TEST(TargetOverload, UrgentRequestsAreServedInTimeSlightlyAboveTheRoom) {
  const auto before = ReplayOverload(MakeLoads(1.3), false);
  const auto after = ReplayOverload(MakeLoads(1.3), true);
  CHECK(before[0].GetShareInGoal() < 0.95);
  CHECK(after[0].GetShareInGoal() >= 0.95);
  CHECK(CountAnswers(after) >= CountAnswers(before) * 0.99);
  CHECK(CountInGoal(after) >= CountInGoal(before) * 0.97);
}

TEST(TargetOverload, UrgentRequestsOfASlowTargetAreAnsweredBeforeOthers) {
  // The target is six times slower than usual, and the urgent requests fit.
  const std::vector<Load> loads = {{.priority = 1, .per_second = 6},
                                   {.priority = 2, .per_second = 40}};
  const auto before = ReplayOverload(loads, false, 6);
  const auto after = ReplayOverload(loads, true, 6);
  CHECK(after[0].answered > before[0].answered);
  CHECK(CountAnswers(after) >= CountAnswers(before) * 0.97);
}

TEST(TargetOverload, LeastUrgentPriorityKeepsItsShare) {
  const auto after = ReplayOverload(
      {{.priority = 1, .per_second = 250}, {.priority = 2, .per_second = 100}},
      true);
  CHECK(after[1].answered >= 0.08 * CountAnswers(after));
}

TEST(TargetOverload, EqualPrioritiesAreServedAsWithoutAnOrder) {
  const std::vector<Load> loads = {{.priority = 1, .per_second = 150},
                                   {.priority = 1, .per_second = 150}};
  const auto before = ReplayOverload(loads, false);
  const auto after = ReplayOverload(loads, true);
  for (std::size_t kind = 0; kind < loads.size(); ++kind) {
    LONGS_EQUAL(before[kind].in_goal, after[kind].in_goal);
    LONGS_EQUAL(before[kind].answered, after[kind].answered);
    LONGS_EQUAL(before[kind].refused, after[kind].refused);
  }
}

TEST(TargetOverload, NothingWaitsBelowTheRoom) {
  Overload overload{.loads = MakeLoads(0.7)};
  overload.Replay();
  LONGS_EQUAL(0, overload.target.order.handed_over.at(
                     static_cast<std::size_t>(HandOverReason::kPlaceFreed)));
}
