#include "common/request_world.h"

#include <chrono>
#include <utility>

/// @file
/// The callers' side: tries, messages, retransmissions, cancellations.

namespace hawthornbank::bench::request_world {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetransmitAfter{400};
constexpr int kRetransmits = 4;
constexpr int kMostAttempts = 20;
constexpr std::uint32_t kServiceAddress = 0x0A640001;

auto FlowOf(const Call& call, std::size_t target) -> FlowKey {
  constexpr std::uint32_t kCallerNetwork = 0x0A000000;
  return {.service = ServiceId{1},
          .caller = {kCallerNetwork + static_cast<std::uint32_t>(call.caller),
                     static_cast<std::uint16_t>(5000 + target)},
          .address = {kServiceAddress, 5683}};
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
  if (opening && DrawRandomFraction(world.net.random()) <
                     world.scenario.second_home_share) {
    SendToTarget(world, call, (target + 1) % world.targets.size(), bytes);
  }
  if (sent < kRetransmits) {
    world.net.At(world.net.now() + kRetransmitAfter * (1 << sent),
                 [&world, &call, exchange, bytes, sent] {
                   Transmit(world, call, exchange, bytes, sent + 1);
                 });
  }
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
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "cancel=" + call.id);
  SendToTarget(world, call, call.attempts.back().target,
               EncodeCoapMessage(message));
  call.ended = true;
}

auto PlanCancel(World& world, Call& call) -> void {
  const auto& scenario = world.scenario;
  if (scenario.cancel_share == 0 ||
      DrawRandomFraction(world.net.random()) >= scenario.cancel_share) {
    return;
  }
  const auto longest = 2 * Duration{scenario.service_time};
  const auto delay =
      static_cast<Duration::rep>(DrawRandomFraction(world.net.random()) *
                                 static_cast<double>(longest.count()));
  world.net.At(world.net.now() + Duration{delay},
               [&world, &call, n = call.attempts.size()] {
                 if (!call.ended && call.attempts.size() == n) {
                   SendCancel(world, call);
                 }
               });
}

auto ChooseTarget(World& world) -> std::size_t {
  const auto count = static_cast<std::uint32_t>(world.targets.size());
  std::size_t target = world.net.random()(count);
  while (!world.targets[target]->routed) {
    target = world.net.random()(count);
  }
  return target;
}

auto BeginAttempt(World& world, Call& call) -> void {
  const auto now = world.net.now();
  if (!call.attempts.empty()) {
    call.attempts.back().end = now;
  }
  call.attempts.push_back({.target = ChooseTarget(world), .start = now});
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

}  // namespace

auto BuildMessage(World& world, const Call& call) -> CoapMessage {
  const auto left =
      std::chrono::floor<milliseconds>(call.deadline - world.net.now());
  CoapMessage message{.code = call.booking ? kCoapPost : kCoapGet,
                      .id = world.callers[call.caller].next_id++,
                      .token = TokenOf(call.exchange)};
  AddCoapOption(
      message, CoapOptionNumber::kUriPath,
      !call.booking ? "board" : (world.scenario.permits ? "permit" : "quote"));
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "rid=" + call.id);
  AddCoapOption(message, CoapOptionNumber::kUriQuery,
                "deadline_ms=" + std::to_string(left.count()));
  if (!call.echo.empty()) {
    AddCoapOption(message, CoapOptionNumber::kEcho, call.echo);
  }
  return message;
}

auto SendMessage(World& world, Call& call) -> void {
  call.exchange = world.next_exchange++;
  world.exchanges.emplace(call.exchange, &call);
  call.sent = world.net.now();
  Transmit(world, call, call.exchange,
           EncodeCoapMessage(BuildMessage(world, call)), 0);
}

auto Retry(World& world, Call& call, Duration after) -> void {
  const auto& scenario = world.scenario;
  if (!scenario.retry_without_budget &&
      !TakeRetryFromBudget(world.callers[call.caller].budget)) {
    return;
  }
  if (call.attempts.size() >= kMostAttempts) {
    return;
  }
  world.net.At(world.net.now() + after,
               [&world, &call] { BeginAttempt(world, call); });
}

auto BeginCall(World& world, std::uint64_t number) -> void {
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
  call.booking = DrawRandomFraction(random) < world.scenario.booking_share;
  call.born = world.net.now();
  ++world.result.calls;
  ++world.offered_by_second[SecondOf(call.born)];
  if (IsMeasured(world, call.born)) {
    ++world.result.offered;
  }
  RecordFirstTry(world.callers[call.caller].budget);
  BeginAttempt(world, call);
}

}  // namespace hawthornbank::bench::request_world
