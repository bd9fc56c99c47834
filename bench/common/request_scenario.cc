#include "common/request_scenario.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "coordination/retry_budget.h"
#include "hawthornbank/error.h"

namespace hawthornbank::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRetransmitAfter{400};
constexpr int kRetransmits = 4;
constexpr milliseconds kHastyRetryAfter{100};
constexpr int kMostAttempts = 20;
constexpr std::uint64_t kFirstCallerHost = 1000;
constexpr std::uint32_t kServiceAddress = 0x0A640001;

// One try of a call at one target.
struct Attempt {
  std::size_t target = 0;
  TimePoint start{};
  TimePoint end = TimePoint::max();  ///< When a later one began.
  bool told_not_run = false;
};

struct Call {
  std::string id;
  std::size_t caller = 0;
  bool booking = false;
  TimePoint born{};
  TimePoint deadline{};
  TimePoint sent{};     ///< First sending of the present message.
  TimePoint reached{};  ///< First arrival of the present message.
  bool refused_on_arrival = false;
  std::vector<std::uint8_t> echo;
  std::uint32_t exchange = 0;  ///< Number of the present message.
  bool ended = false;          ///< The present attempt has its answer.
  bool succeeded = false;
  std::uint8_t final_code = 0;
  std::vector<Attempt> attempts;
};

struct Caller {
  std::uint16_t next_id = 0;
  RetryBudget budget;
};

struct World {
  const RequestScenario& scenario;
  VirtualNetwork net;
  std::vector<std::unique_ptr<TargetHost>> targets;
  std::vector<Caller> callers;
  std::vector<std::unique_ptr<Call>> calls;
  std::unordered_map<std::uint32_t, Call*> exchanges;
  std::uint32_t next_exchange = 1;
  std::vector<Run> runs;
  std::vector<double> refusal_round_trips;
  std::vector<double> arrival_refusal_round_trips;
  std::vector<std::uint64_t> offered_by_second;
  std::vector<std::uint64_t> served_by_second;
  RequestResult result;

  explicit World(const RequestScenario& given)
      : scenario(given), net(given.seed) {}
};

auto FlowOf(const Call& call, std::size_t target) -> FlowKey {
  constexpr std::uint32_t kCallerNetwork = 0x0A000000;
  return {.service = ServiceId{1},
          .caller = {kCallerNetwork + static_cast<std::uint32_t>(call.caller),
                     static_cast<std::uint16_t>(5000 + target)},
          .address = {kServiceAddress, 5683}};
}

auto IsMeasured(const World& world, TimePoint when) -> bool {
  return when >= TimePoint{world.scenario.start} &&
         when < TimePoint{world.scenario.end};
}

auto SecondOf(TimePoint when) -> std::size_t {
  return static_cast<std::size_t>(
      std::chrono::floor<seconds>(when.time_since_epoch()).count());
}

// Sends a datagram and, by chance, late copies of it.
auto SendWithCopies(World& world,
                    std::uint64_t from,
                    std::uint64_t to,
                    const std::function<void()>& deliver) -> void {
  world.net.Send(from, to, deliver);
  const auto& scenario = world.scenario;
  if (scenario.copy_share == 0 ||
      NextFraction(world.net.random()) >= scenario.copy_share) {
    return;
  }
  for (std::size_t n = 0; n < scenario.copies; ++n) {
    const auto delay = static_cast<Duration::rep>(
        NextFraction(world.net.random()) *
        static_cast<double>(scenario.copy_delay.count()));
    world.net.At(
        world.net.now() + Duration{delay},
        [&world, from, to, deliver] { world.net.Send(from, to, deliver); });
  }
}

auto SendToTarget(World& world,
                  Call& call,
                  std::size_t target,
                  const std::vector<std::uint8_t>& bytes) -> void {
  const auto flow = FlowOf(call, target);
  auto* host = world.targets[target].get();
  SendWithCopies(world, kFirstCallerHost + call.caller, host->host,
                 [&world, host, flow, bytes, &call, sent = call.exchange] {
                   if (sent == call.exchange && call.reached < call.sent) {
                     call.reached = world.net.now();
                   }
                   DeliverToTarget(*host, world.net, flow, bytes);
                 });
}

auto TokenOf(std::uint32_t exchange) -> std::vector<std::uint8_t> {
  return {static_cast<std::uint8_t>(exchange >> 24U),
          static_cast<std::uint8_t>(exchange >> 16U),
          static_cast<std::uint8_t>(exchange >> 8U),
          static_cast<std::uint8_t>(exchange)};
}

auto BuildMessage(World& world, const Call& call) -> CoapMessage {
  const auto left =
      std::chrono::floor<milliseconds>(call.deadline - world.net.now());
  CoapMessage message{.code = call.booking ? kCoapPost : kCoapGet,
                      .id = world.callers[call.caller].next_id++,
                      .token = TokenOf(call.exchange)};
  AddOption(
      message, CoapOptionNumber::kUriPath,
      !call.booking ? "board" : (world.scenario.permits ? "permit" : "quote"));
  AddOption(message, CoapOptionNumber::kUriQuery, "rid=" + call.id);
  AddOption(message, CoapOptionNumber::kUriQuery,
            "deadline_ms=" + std::to_string(left.count()));
  if (!call.echo.empty()) {
    AddOption(message, CoapOptionNumber::kEcho, call.echo);
  }
  return message;
}

// Sends a message and repeats it until it is answered.
auto Transmit(World& world,
              Call& call,
              std::uint32_t exchange,
              const std::vector<std::uint8_t>& bytes,
              int sent) -> void {
  if (call.ended || call.exchange != exchange ||
      world.net.now() >= call.deadline) {
    return;
  }
  const auto target = call.attempts.back().target;
  SendToTarget(world, call, target, bytes);
  const bool opening = call.booking && call.echo.empty();
  if (opening &&
      NextFraction(world.net.random()) < world.scenario.second_home_share) {
    SendToTarget(world, call, (target + 1) % world.targets.size(), bytes);
  }
  if (sent < kRetransmits) {
    world.net.At(world.net.now() + kRetransmitAfter * (1 << sent),
                 [&world, &call, exchange, bytes, sent] {
                   Transmit(world, call, exchange, bytes, sent + 1);
                 });
  }
}

auto SendMessage(World& world, Call& call) -> void {
  call.exchange = world.next_exchange++;
  world.exchanges.emplace(call.exchange, &call);
  call.sent = world.net.now();
  Transmit(world, call, call.exchange, EncodeCoap(BuildMessage(world, call)),
           0);
}

auto BeginAttempt(World& world, Call& call) -> void;

auto Retry(World& world, Call& call, Duration after) -> void {
  const auto& scenario = world.scenario;
  if (!scenario.retry_without_budget &&
      !SpendRetry(world.callers[call.caller].budget)) {
    return;
  }
  if (call.attempts.size() >= kMostAttempts) {
    return;
  }
  world.net.At(world.net.now() + after,
               [&world, &call] { BeginAttempt(world, call); });
}

auto EndAttempt(World& world, Call& call) -> void {
  if (!call.ended) {
    call.ended = true;
    ++world.result.unanswered;
    if (world.scenario.retry_without_budget) {
      Retry(world, call, kHastyRetryAfter);
    }
  }
}

// Cancels the present attempt; its outcome is then of no interest.
auto SendCancel(World& world, Call& call) -> void {
  const auto exchange = world.next_exchange++;
  world.exchanges.emplace(exchange, &call);
  CoapMessage message{.type = CoapType::kNon,
                      .code = kCoapGet,
                      .id = world.callers[call.caller].next_id++,
                      .token = TokenOf(exchange)};
  AddOption(message, CoapOptionNumber::kUriQuery, "cancel=" + call.id);
  SendToTarget(world, call, call.attempts.back().target, EncodeCoap(message));
  call.ended = true;
}

auto PlanCancel(World& world, Call& call) -> void {
  const auto& scenario = world.scenario;
  if (scenario.cancel_share == 0 ||
      NextFraction(world.net.random()) >= scenario.cancel_share) {
    return;
  }
  const auto longest = 2 * Duration{scenario.service_time};
  const auto delay = static_cast<Duration::rep>(
      NextFraction(world.net.random()) * static_cast<double>(longest.count()));
  world.net.At(world.net.now() + Duration{delay},
               [&world, &call, n = call.attempts.size()] {
                 if (!call.ended && call.attempts.size() == n) {
                   SendCancel(world, call);
                 }
               });
}

auto BeginAttempt(World& world, Call& call) -> void {
  const auto now = world.net.now();
  if (!call.attempts.empty()) {
    call.attempts.back().end = now;
  }
  const auto count = static_cast<std::uint32_t>(world.targets.size());
  call.attempts.push_back({.target = world.net.random()(count), .start = now});
  call.deadline = now + world.scenario.deadline;
  call.echo.clear();
  call.ended = false;
  call.final_code = 0;
  ++world.result.attempts;
  SendMessage(world, call);
  PlanCancel(world, call);
  world.net.At(call.deadline, [&world, &call, n = call.attempts.size()] {
    if (call.attempts.size() == n) {
      EndAttempt(world, call);
    }
  });
}

auto NoteSuccess(World& world, Call& call, const CoapMessage& reply) -> void {
  const auto expected = AnswerBody(BuildMessage(world, call));
  if (reply.payload != expected) {
    ++world.result.wrong_answers;
    return;
  }
  call.succeeded = true;
  const auto second = SecondOf(call.born);
  ++world.served_by_second[second];
  if (IsMeasured(world, world.net.now())) {
    ++world.result.succeeded;
  }
}

auto KindOf(const CoapMessage& reply) -> ErrorKind {
  const std::string text{reply.payload.begin(), reply.payload.end()};
  for (const auto& answer : kErrorAnswers) {
    if (answer.name == text) {
      return answer.kind;
    }
  }
  return ErrorKind::kInternal;
}

// Left to the deadline when a request was refused after it was taken in.
auto NoteLateRefusal(World& world, const Call& call, ErrorKind kind) -> void {
  auto& result = world.result;
  ++result.late_refusals_by_kind[kind];
  const double left =
      static_cast<double>((call.deadline - world.net.now()).count()) /
      static_cast<double>(Duration{world.scenario.service_time}.count());
  result.late_refusal_left_min = std::min(result.late_refusal_left_min, left);
}

auto NoteRefusal(World& world, Call& call, const CoapMessage& reply) -> void {
  const auto& answer = AnswerFor(KindOf(reply));
  if (answer.execution != Execution::kNotRun) {
    ++world.result.unknown;
    if (world.scenario.retry_without_budget) {
      Retry(world, call, kHastyRetryAfter);
    }
    return;
  }
  call.attempts.back().told_not_run = true;
  const Duration round_trip =
      world.scenario.link.delay * 2 + world.scenario.link.jitter * 2;
  const auto trips =
      static_cast<double>((world.net.now() - call.sent).count()) /
      static_cast<double>(round_trip.count());
  world.refusal_round_trips.push_back(trips);
  if (call.refused_on_arrival) {
    world.arrival_refusal_round_trips.push_back(trips);
  } else {
    NoteLateRefusal(world, call, answer.kind);
  }
  if (world.scenario.retry_without_budget) {
    Retry(world, call, kHastyRetryAfter);
  } else if (const auto* age = FindOption(reply, CoapOptionNumber::kMaxAge)) {
    Retry(world, call, seconds{UintValue(*age)});
  }
}

// An answer to a message that already has one, or to one given up on.
auto NoteRepeat(World& world,
                const Call& call,
                std::uint32_t exchange,
                const CoapMessage& reply) -> void {
  const bool gave_up = exchange == call.exchange && call.final_code != 0 &&
                       CodeClass(call.final_code) != 2;
  // A challenge invites to ask again; it is no answer.
  const bool final = FindOption(reply, CoapOptionNumber::kEcho) == nullptr;
  if (gave_up && final && reply.code != call.final_code) {
    ++world.result.answer_after_give_up;
  }
}

auto ExchangeOf(const CoapMessage& reply) -> std::uint32_t {
  std::uint32_t exchange = 0;
  for (const auto it : reply.token) {
    exchange = exchange << 8U | it;
  }
  return exchange;
}

// Notes whether a reply leaves the target at the instant of the request.
auto NoteDeparture(World& world, const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto it =
      world.exchanges.find(ExchangeOf(DecodeCoap(bytes, kMaxDatagram)));
  if (it != world.exchanges.end() && it->second->exchange == it->first) {
    auto& call = *it->second;
    call.refused_on_arrival = call.reached == world.net.now();
  }
}

auto ReceiveReply(World& world, const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto reply = DecodeCoap(bytes, kMaxDatagram);
  const auto exchange = ExchangeOf(reply);
  const auto it = world.exchanges.find(exchange);
  if (it == world.exchanges.end()) {
    ++world.result.wrong_answers;
    return;
  }
  auto& call = *it->second;
  if (call.ended || exchange != call.exchange) {
    NoteRepeat(world, call, exchange, reply);
    return;
  }
  const auto* echo = FindOption(reply, CoapOptionNumber::kEcho);
  if (echo != nullptr) {
    call.echo = echo->value;
    SendMessage(world, call);
    return;
  }
  call.ended = true;
  call.final_code = reply.code;
  if (CodeClass(reply.code) == 2) {
    NoteSuccess(world, call, reply);
  } else {
    NoteRefusal(world, call, reply);
  }
}

auto BeginCall(World& world, std::uint64_t number) -> void {
  auto& random = world.net.random();
  const auto callers = static_cast<std::uint32_t>(world.callers.size());
  world.calls.push_back(std::make_unique<Call>());
  auto& call = *world.calls.back();
  call.id = "r" + std::to_string(number);
  call.caller = random(callers);
  if (world.scenario.flood_share > 0 &&
      NextFraction(random) < world.scenario.flood_share) {
    call.caller = 0;
  }
  call.booking = NextFraction(random) < world.scenario.booking_share;
  call.born = world.net.now();
  ++world.result.calls;
  ++world.offered_by_second[SecondOf(call.born)];
  if (IsMeasured(world, call.born)) {
    ++world.result.offered;
  }
  OnFirstTry(world.callers[call.caller].budget);
  BeginAttempt(world, call);
}

auto CapacityPerSecond(const RequestScenario& scenario) -> double {
  constexpr double kSlots = 3;
  const double service =
      std::chrono::duration<double>{scenario.service_time}.count();
  return static_cast<double>(scenario.targets) * kSlots / service;
}

auto PlanCalls(World& world) -> void {
  const double rate = CapacityPerSecond(world.scenario) * world.scenario.load;
  double when = 0;
  const double end = std::chrono::duration<double>{world.scenario.end}.count();
  for (std::uint64_t n = 0;; ++n) {
    when += -std::log(1 - NextFraction(world.net.random())) / rate;
    if (when >= end) {
      return;
    }
    const auto instant = TimePoint{std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>{when})};
    world.net.At(instant, [&world, n] { BeginCall(world, n); });
  }
}

auto MakeTarget(World& world, std::size_t n) -> std::unique_ptr<TargetHost> {
  auto target = std::make_unique<TargetHost>();
  target->host = n + 1;
  target->kind = world.scenario.gate;
  target->options.gate.target = TargetId{n + 1};
  target->options.token_keys = {{1, 2, 3}};
  target->options.counts_double =
      world.scenario.permits && world.scenario.weigh_permits;
  target->service_time = world.scenario.service_time;
  target->options.pass_to_other_targets = true;
  target->ignores_cancel = world.scenario.targets_ignore_cancel;
  target->runs = &world.runs;
  target->pass = [&world, host = target->host](
                     TargetId other, const FlowKey& flow,
                     std::vector<std::uint8_t> bytes) {
    auto* next = world.targets.at(ToInteger(other) - 1).get();
    world.net.Send(host, next->host,
                   [&world, next, flow, bytes = std::move(bytes)] {
                     DeliverToTarget(*next, world.net, flow, bytes);
                   });
  };
  target->send = [&world, host = target->host](
                     const FlowKey& flow, std::vector<std::uint8_t> bytes) {
    NoteDeparture(world, bytes);
    const auto caller = kFirstCallerHost + (flow.caller.address & 0xFFFFU);
    SendWithCopies(world, host, caller, [&world, bytes = std::move(bytes)] {
      ReceiveReply(world, bytes);
    });
  };
  return target;
}

auto CountRuns(World& world) -> void {
  std::map<std::string, std::vector<TimePoint>> starts;
  for (const auto& run : world.runs) {
    starts[run.id].push_back(run.when);
  }
  for (const auto& call : world.calls) {
    const auto it = starts.find(call->id);
    if (!call->booking || it == starts.end()) {
      continue;
    }
    world.result.doubled += it->second.size() > 1 ? 1 : 0;
    for (const auto& attempt : call->attempts) {
      const bool ran = std::any_of(
          it->second.begin(), it->second.end(), [&](TimePoint when) {
            return when >= attempt.start && when < attempt.end;
          });
      world.result.falsely_not_run += attempt.told_not_run && ran ? 1 : 0;
    }
  }
}

struct Served {
  double offered = 0;
  double served = 0;

  [[nodiscard]] auto Ratio() const -> double {
    return offered == 0 ? 0 : served / offered;
  }
};

// How permit checks and other requests of the well-behaved callers fared.
auto SummarizeWeights(World& world) -> void {
  Served permits;
  Served ordinary;
  double worth = 0;
  for (const auto& call : world.calls) {
    if (!IsMeasured(world, call->born)) {
      continue;
    }
    worth += call->succeeded ? (call->booking ? 2 : 1) : 0;
    const bool floods = world.scenario.flood_share > 0 && call->caller == 0;
    if (!floods) {
      auto& group = call->booking ? permits : ordinary;
      group.offered += 1;
      group.served += call->succeeded ? 1 : 0;
    }
  }
  const double time =
      std::chrono::duration<double>{world.scenario.end - world.scenario.start}
          .count();
  world.result.others_permits_ratio = permits.Ratio();
  world.result.others_ordinary_ratio = ordinary.Ratio();
  world.result.weighted_goodput =
      worth / (CapacityPerSecond(world.scenario) * time);
}

auto SummarizeTargets(World& world) -> void {
  auto& result = world.result;
  for (const auto& target : world.targets) {
    result.running_max = std::max(result.running_max, target->running_max);
    result.cancelled += target->cancelled;
    result.slots_freed += target->slots_freed;
  }
}

auto Summarize(World& world) -> void {
  auto& result = world.result;
  double weight = 0;
  double shed = 0;
  for (const auto& call : world.calls) {
    const double value = call->booking && world.scenario.permits ? 2 : 1;
    weight += value;
    shed += call->attempts.front().told_not_run ? value : 0;
  }
  result.shed_share = weight == 0 ? 0 : shed / weight;
  const double time =
      std::chrono::duration<double>{world.scenario.end - world.scenario.start}
          .count();
  const auto succeeded = static_cast<double>(result.succeeded);
  result.goodput_ratio = succeeded / (CapacityPerSecond(world.scenario) * time);
  result.served_ratio = succeeded / static_cast<double>(result.offered);
  auto& trips = world.refusal_round_trips;
  if (!trips.empty()) {
    const auto rank =
        trips.begin() + static_cast<std::ptrdiff_t>(trips.size() * 99 / 100);
    std::nth_element(trips.begin(), rank, trips.end());
    result.refusal_round_trips_p99 = *rank;
    const auto late = std::count_if(trips.begin(), trips.end(),
                                    [](double it) { return it > 1; });
    result.late_refusals =
        static_cast<double>(late) / static_cast<double>(trips.size());
  }
  const auto& on_arrival = world.arrival_refusal_round_trips;
  if (!on_arrival.empty()) {
    result.arrival_refusal_round_trips_p100 =
        *std::max_element(on_arrival.begin(), on_arrival.end());
  }
  for (std::size_t n = 0; n < world.offered_by_second.size(); ++n) {
    const auto offered = static_cast<double>(world.offered_by_second[n]);
    result.served_by_second.push_back(
        offered == 0
            ? 0
            : static_cast<double>(world.served_by_second[n]) / offered);
  }
}

}  // namespace

auto RunScenario(const RequestScenario& scenario) -> RequestResult {
  World world{scenario};
  world.net.SetLinkRule(
      [&scenario](std::uint64_t, std::uint64_t) { return scenario.link; });
  world.callers.resize(scenario.callers);
  for (auto& caller : world.callers) {
    caller.next_id = static_cast<std::uint16_t>(world.net.random()());
  }
  const auto length = static_cast<std::size_t>(scenario.end.count());
  world.offered_by_second.resize(length);
  world.served_by_second.resize(length);
  for (std::size_t n = 0; n < scenario.targets; ++n) {
    world.targets.push_back(MakeTarget(world, n));
    StartTarget(*world.targets.back(), world.net);
  }
  PlanCalls(world);
  if (scenario.faults) {
    scenario.faults(world.net, world.targets);
  }
  constexpr seconds kSettle{20};
  world.net.RunUntil(TimePoint{scenario.end + kSettle});
  CountRuns(world);
  Summarize(world);
  SummarizeTargets(world);
  SummarizeWeights(world);
  return world.result;
}

}  // namespace hawthornbank::bench
