#include "common/request_world.h"

#include <chrono>
#include <utility>

/// @file
/// The callers' side of a request scenario: attempts, messages, retransmissions
/// and cancellations.

namespace hawthornbank::bench::request_world {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetransmitAfter{400};
constexpr int kMaxRetransmits = 4;
constexpr int kMaxAttempts = 20;
constexpr std::uint32_t kServiceAddress = 0x0A640001;

auto MakeFlowKey(const Call& call, std::size_t target) -> FlowKey {
  constexpr std::uint32_t kCallerNetwork = 0x0A000000;
  return {.service = ServiceId{1},
          .caller = {kCallerNetwork + static_cast<std::uint32_t>(call.caller),
                     static_cast<std::uint16_t>(5000 + target)},
          .address = {kServiceAddress, 5683}};
}

auto SendDatagramToTarget(World& world,
                          Call& call,
                          std::size_t target,
                          const std::vector<std::uint8_t>& bytes) -> void {
  const auto flow = MakeFlowKey(call, target);
  auto* host = world.targets[target].get();
  SendDatagramWithCopies(
      world, kFirstCallerHost + call.caller, host->host,
      [&world, host, flow, bytes, &call, sent = call.exchange] {
        if (sent == call.exchange && call.arrived < call.sent) {
          call.arrived = world.net.now();
        }
        DeliverDatagramToTarget(*host, world.net, flow, bytes);
      });
}

auto MakeExchangeToken(std::uint32_t exchange) -> std::vector<std::uint8_t> {
  return {static_cast<std::uint8_t>(exchange >> 24U),
          static_cast<std::uint8_t>(exchange >> 16U),
          static_cast<std::uint8_t>(exchange >> 8U),
          static_cast<std::uint8_t>(exchange)};
}

// Sends a message and retransmits it with exponential backoff until the message
// is answered, the call's deadline has passed or kMaxRetransmits is reached.
auto TransmitMessage(World& world,
                     Call& call,
                     std::uint32_t exchange,
                     const std::vector<std::uint8_t>& bytes,
                     int sent) -> void {
  if (call.attempt_ended || call.exchange != exchange ||
      world.net.now() >= call.deadline) {
    return;
  }
  const auto target = call.attempts.back().target;
  SendDatagramToTarget(world, call, target, bytes);
  const bool opening = call.is_booking && call.echo.empty();
  if (opening && DrawRandomFraction(world.net.random()) <
                     world.scenario.second_home_share) {
    SendDatagramToTarget(world, call, (target + 1) % world.targets.size(),
                         bytes);
  }
  if (sent < kMaxRetransmits) {
    world.net.ScheduleAction(world.net.now() + kRetransmitAfter * (1 << sent),
                             [&world, &call, exchange, bytes, sent] {
                               TransmitMessage(world, call, exchange, bytes,
                                               sent + 1);
                             });
  }
}

auto EndUnansweredAttempt(World& world, Call& call) -> void {
  if (!call.attempt_ended) {
    call.attempt_ended = true;
    ++world.result.unanswered;
    if (world.scenario.retry_without_budget) {
      ScheduleRetry(world, call, kUnbudgetedRetryDelay);
    }
  }
}

// Sends a cancellation of the call's current attempt, whose result is then
// ignored.
auto SendCancellation(World& world, Call& call) -> void {
  const auto exchange = world.next_exchange++;
  world.exchanges.emplace(exchange, &call);
  CoapMessage message{.type = CoapType::kNon,
                      .code = kCoapGet,
                      .id = world.callers[call.caller].next_id++,
                      .token = MakeExchangeToken(exchange)};
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "cancel=" + call.id);
  SendDatagramToTarget(world, call, call.attempts.back().target,
                       EncodeCoapMessage(message));
  call.attempt_ended = true;
}

auto ScheduleCancellation(World& world, Call& call) -> void {
  const auto& scenario = world.scenario;
  if (scenario.cancel_share == 0 ||
      DrawRandomFraction(world.net.random()) >= scenario.cancel_share) {
    return;
  }
  const auto longest = 2 * Duration{scenario.service_time};
  const auto delay =
      static_cast<Duration::rep>(DrawRandomFraction(world.net.random()) *
                                 static_cast<double>(longest.count()));
  world.net.ScheduleAction(
      world.net.now() + Duration{delay},
      [&world, &call, n = call.attempts.size()] {
        if (!call.attempt_ended && call.attempts.size() == n) {
          SendCancellation(world, call);
        }
      });
}

auto ChooseRandomTarget(World& world) -> std::size_t {
  const auto count = static_cast<std::uint32_t>(world.targets.size());
  std::size_t target = world.net.random()(count);
  while (!world.targets[target]->is_routed) {
    target = world.net.random()(count);
  }
  return target;
}

auto StartCallAttempt(World& world, Call& call) -> void {
  const auto now = world.net.now();
  if (!call.attempts.empty()) {
    call.attempts.back().next_attempt_start = now;
  }
  call.attempts.push_back({.target = ChooseRandomTarget(world), .start = now});
  call.deadline = now + world.scenario.deadline;
  call.echo.clear();
  call.attempt_ended = false;
  call.final_code = 0;
  ++world.result.attempts;
  SendRequestMessage(world, call);
  ScheduleCancellation(world, call);
  world.net.ScheduleAction(call.deadline,
                           [&world, &call, n = call.attempts.size()] {
                             if (call.attempts.size() == n) {
                               EndUnansweredAttempt(world, call);
                             }
                           });
}

}  // namespace

auto BuildRequestMessage(World& world, const Call& call) -> CoapMessage {
  const auto left =
      std::chrono::floor<milliseconds>(call.deadline - world.net.now());
  CoapMessage message{.code = call.is_booking ? kCoapPost : kCoapGet,
                      .id = world.callers[call.caller].next_id++,
                      .token = MakeExchangeToken(call.exchange)};
  AddCoapOption(message, CoapOptionNumber::kUriPath,
                !call.is_booking
                    ? "board"
                    : (world.scenario.permits ? "permit" : "quote"));
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "rid=" + call.id);
  AddCoapOption(message, CoapOptionNumber::kUriQuery,
                "deadline_ms=" + std::to_string(left.count()));
  if (!call.echo.empty()) {
    AddCoapOption(message, CoapOptionNumber::kEcho, call.echo);
  }
  return message;
}

auto SendRequestMessage(World& world, Call& call) -> void {
  call.exchange = world.next_exchange++;
  world.exchanges.emplace(call.exchange, &call);
  call.sent = world.net.now();
  TransmitMessage(world, call, call.exchange,
                  EncodeCoapMessage(BuildRequestMessage(world, call)), 0);
}

auto ScheduleRetry(World& world, Call& call, Duration after) -> void {
  const auto& scenario = world.scenario;
  if (!scenario.retry_without_budget &&
      !TakeRetryFromBudget(world.callers[call.caller].budget)) {
    return;
  }
  if (call.attempts.size() >= kMaxAttempts) {
    return;
  }
  world.net.ScheduleAction(world.net.now() + after,
                           [&world, &call] { StartCallAttempt(world, call); });
}

auto StartCall(World& world, std::uint64_t number) -> void {
  auto& random = world.net.random();
  const auto callers = static_cast<std::uint32_t>(world.callers.size());
  world.calls.push_back(std::make_unique<Call>());
  auto& call = *world.calls.back();
  call.id = "r" + std::to_string(number);
  call.caller = random(callers);
  if (world.scenario.flood_share > 0 &&
      DrawRandomFraction(random) < world.scenario.flood_share) {
    call.caller = 0;
  }
  call.is_booking = DrawRandomFraction(random) < world.scenario.booking_share;
  call.created = world.net.now();
  ++world.result.calls;
  ++world.offered_by_second[GetSecondOfRun(call.created)];
  if (IsInMeasuredTime(world, call.created)) {
    ++world.result.offered;
  }
  RecordFirstAttempt(world.callers[call.caller].budget);
  StartCallAttempt(world, call);
}

}  // namespace hawthornbank::bench::request_world
