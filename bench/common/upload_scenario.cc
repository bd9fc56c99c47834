#include "common/upload_scenario.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hawthornbank/coap_gate.h"
#include "protocol/coap_codec.h"

namespace hawthornbank::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t kTargetHost = 1;
constexpr std::uint64_t kFirstCallerHost = 1000;
constexpr std::size_t kPartBytes = 512;
/// Block size code of 512 bytes (RFC 7959).
constexpr std::uint32_t kPartSizeCode = 5;
constexpr std::uint32_t kMoreFlag = 8;
constexpr unsigned kBlockNumberShift = 4;
constexpr std::uint8_t kChanged = 2 << 5 | 4;
constexpr std::uint8_t kContinue = 2 << 5 | 31;
constexpr std::uint8_t kIncomplete = 4 << 5 | 8;
constexpr milliseconds kServiceTime{5};
constexpr milliseconds kRetransmitAfter{400};
constexpr int kMaxTransmissions = 8;

enum class UploadOutcome : std::uint8_t { kNone, kWhole, kError };

struct Upload {
  std::size_t number = 0;
  std::string id;
  std::uint16_t port = 5000;
  std::uint32_t part = 0;
  std::uint32_t exchange = 0;  ///< Number of the current message.
  Bytes echo;
  bool resent = false;
  UploadOutcome end = UploadOutcome::kNone;
};

struct World {
  const UploadScenario& scenario;
  VirtualNetwork net;
  CoapGate gate;
  TimePoint next_tick = TimePoint::max();
  std::vector<std::unique_ptr<Upload>> uploads;
  std::map<std::uint32_t, Upload*> exchanges;
  std::uint32_t next_exchange = 1;
  std::uint16_t next_id = 1;
  /// Bytes of all parts that the target has appended, by upload ID.
  std::map<std::string, Bytes> partial_bodies;
  std::map<std::string, Bytes> complete_bodies;
  std::map<std::pair<std::string, std::uint32_t>, int> part_runs;

  explicit World(const UploadScenario& given)
      : scenario(given), net(given.seed) {}
};

auto MakePartBytes(const Upload& upload, std::size_t part) -> Bytes {
  // Odd strides, so that the bytes of two uploads differ.
  constexpr std::size_t kUploadStride = 31;
  constexpr std::size_t kPartStride = 7;
  Bytes bytes(kPartBytes);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    bytes[n] = static_cast<std::uint8_t>(upload.number * kUploadStride +
                                         part * kPartStride + n);
  }
  return bytes;
}

auto MakeWholeUploadBody(const World& world, const Upload& upload) -> Bytes {
  Bytes body;
  for (std::uint32_t n = 0; n < world.scenario.parts; ++n) {
    const auto part = MakePartBytes(upload, n);
    body.insert(body.end(), part.begin(), part.end());
  }
  return body;
}

auto MakeFlowKey(const Upload& upload) -> FlowKey {
  return {.service = ServiceId{1},
          .caller = {static_cast<std::uint32_t>(upload.number), upload.port}};
}

auto SendDatagramWithCopies(World& world,
                            std::uint64_t from,
                            std::uint64_t to,
                            const VirtualNetwork::Action& deliver) -> void {
  world.net.SendMessage(from, to, deliver);
  if (DrawRandomFraction(world.net.random()) < world.scenario.copy_share) {
    const auto delay = static_cast<Duration::rep>(
        DrawRandomFraction(world.net.random()) *
        static_cast<double>(world.scenario.copy_delay.count()));
    world.net.ScheduleAction(world.net.now() + Duration{delay},
                             [&world, from, to, deliver] {
                               world.net.SendMessage(from, to, deliver);
                             });
  }
}

auto HandleReplyAtCaller(World& world, const Bytes& bytes) -> void;

auto SendDatagramToCaller(World& world, const FlowKey& flow, const Bytes& bytes)
    -> void {
  SendDatagramWithCopies(
      world, kTargetHost, kFirstCallerHost + flow.caller.address,
      [&world, bytes] { HandleReplyAtCaller(world, bytes); });
}

// Appends a part to the upload's body at the target. Returns the response code
// for more parts expected, body complete, or earlier parts missing.
auto AppendPartToBody(World& world, const CoapMessage& request)
    -> std::uint8_t {
  const auto id = FindQueryParameter(request, "rid").value_or("");
  const auto block =
      DecodeUintOption(*FindCoapOption(request, CoapOptionNumber::kBlock1));
  const auto number = block >> kBlockNumberShift;
  ++world.part_runs[{id, number}];
  auto& body = world.partial_bodies[id];
  if (number == 0) {
    body.clear();
  }
  if (body.size() != number * kPartBytes) {
    return kIncomplete;
  }
  body.insert(body.end(), request.payload.begin(), request.payload.end());
  if ((block & kMoreFlag) != 0) {
    return kContinue;
  }
  world.complete_bodies[id] = body;
  return kChanged;
}

auto PerformGateActions(World& world, const GateActions& actions) -> void;

auto RunGateTick(World& world) -> void {
  GateActions actions;
  const auto next =
      OnCoapGateTick(world.gate, world.net.now(), world.net.random(), actions);
  PerformGateActions(world, actions);
  if (next < world.next_tick || world.next_tick <= world.net.now()) {
    world.next_tick = next;
    world.net.ScheduleAction(next, [&world, next] {
      if (world.next_tick == next) {
        world.next_tick = TimePoint::max();
        RunGateTick(world);
      }
    });
  }
}

auto AnswerUploadPart(World& world, const FlowKey& flow, const Bytes& bytes)
    -> void {
  const auto request = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  if (request.code != kCoapPost) {
    return;
  }
  world.net.ScheduleAction(
      world.net.now() + kServiceTime, [&world, flow, request] {
        const CoapMessage answer{.type = CoapType::kAck,
                                 .code = AppendPartToBody(world, request),
                                 .id = request.id,
                                 .token = request.token};
        if (!world.scenario.has_gate) {
          SendDatagramToCaller(world, flow, EncodeCoapMessage(answer));
          return;
        }
        GateActions actions;
        OnTargetDatagram(world.gate, flow, EncodeCoapMessage(answer),
                         world.net.now(), world.net.random(), actions);
        PerformGateActions(world, actions);
        RunGateTick(world);
      });
}

auto PerformGateActions(World& world, const GateActions& actions) -> void {
  for (const auto& action : actions) {
    if (action.kind == GateAction::Kind::kToCaller) {
      SendDatagramToCaller(world, action.flow, action.bytes);
    } else if (action.kind == GateAction::Kind::kToTarget) {
      AnswerUploadPart(world, action.flow, action.bytes);
    }
  }
}

auto DeliverCallerDatagram(World& world,
                           const FlowKey& flow,
                           const Bytes& bytes) -> void {
  if (!world.scenario.has_gate) {
    AnswerUploadPart(world, flow, bytes);
    return;
  }
  GateActions actions;
  OnCallerDatagram(world.gate, flow, bytes, world.net.now(), world.net.random(),
                   actions);
  PerformGateActions(world, actions);
  RunGateTick(world);
}

auto BuildPartMessage(World& world, const Upload& upload) -> CoapMessage {
  const auto exchange = upload.exchange;
  CoapMessage message{.code = kCoapPost,
                      .id = world.next_id++,
                      .token = {static_cast<std::uint8_t>(exchange >> 16U),
                                static_cast<std::uint8_t>(exchange >> 8U),
                                static_cast<std::uint8_t>(exchange)},
                      .payload = MakePartBytes(upload, upload.part)};
  AddCoapOption(message, CoapOptionNumber::kUriPath, "plan");
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "rid=" + upload.id);
  if (!upload.echo.empty()) {
    AddCoapOption(message, CoapOptionNumber::kEcho, upload.echo);
  }
  const bool last = upload.part + 1 == world.scenario.parts;
  AddCoapUintOption(message, CoapOptionNumber::kBlock1,
                    upload.part << kBlockNumberShift | (last ? 0 : kMoreFlag) |
                        kPartSizeCode);
  return message;
}

auto TransmitPart(World& world,
                  Upload& upload,
                  std::uint32_t exchange,
                  const Bytes& bytes,
                  int sent) -> void {
  if (upload.exchange != exchange || upload.end != UploadOutcome::kNone) {
    return;
  }
  if (sent == kMaxTransmissions) {
    upload.end = UploadOutcome::kError;
    return;
  }
  upload.resent = upload.resent || sent > 0;
  SendDatagramWithCopies(world, kFirstCallerHost + upload.number, kTargetHost,
                         [&world, flow = MakeFlowKey(upload), bytes] {
                           DeliverCallerDatagram(world, flow, bytes);
                         });
  world.net.ScheduleAction(world.net.now() + kRetransmitAfter,
                           [&world, &upload, exchange, bytes, sent] {
                             TransmitPart(world, upload, exchange, bytes,
                                          sent + 1);
                           });
}

auto SendCurrentPart(World& world, Upload& upload) -> void {
  upload.exchange = world.next_exchange++;
  world.exchanges.emplace(upload.exchange, &upload);
  TransmitPart(world, upload, upload.exchange,
               EncodeCoapMessage(BuildPartMessage(world, upload)), 0);
}

auto ChangeCallerAddressIfDue(const World& world, Upload& upload) -> void {
  if (upload.part == world.scenario.parts / 2 &&
      upload.number % world.scenario.uploads_per_move == 0) {
    ++upload.port;
  }
}

auto HandleUploadReply(World& world, Upload& upload, const CoapMessage& reply)
    -> void {
  const auto* echo = FindCoapOption(reply, CoapOptionNumber::kEcho);
  const auto* age = FindCoapOption(reply, CoapOptionNumber::kMaxAge);
  if (echo != nullptr) {
    upload.echo = echo->value;
    SendCurrentPart(world, upload);
  } else if (reply.code == kContinue) {
    ++upload.part;
    ChangeCallerAddressIfDue(world, upload);
    SendCurrentPart(world, upload);
  } else if (reply.code == kChanged) {
    upload.end = UploadOutcome::kWhole;
  } else if (age != nullptr) {
    upload.exchange = 0;
    upload.echo.clear();
    world.net.ScheduleAction(
        world.net.now() + seconds{DecodeUintOption(*age)},
        [&world, &upload] { SendCurrentPart(world, upload); });
  } else {
    upload.end = UploadOutcome::kError;
  }
}

auto HandleReplyAtCaller(World& world, const Bytes& bytes) -> void {
  const auto reply = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  std::uint32_t exchange = 0;
  for (const auto it : reply.token) {
    exchange = exchange << 8U | it;
  }
  const auto it = world.exchanges.find(exchange);
  const bool current = it != world.exchanges.end() &&
                       it->second->exchange == exchange &&
                       it->second->end == UploadOutcome::kNone;
  if (current) {
    HandleUploadReply(world, *it->second, reply);
  }
}

auto SummarizeUploads(const World& world) -> UploadResult {
  UploadResult result;
  for (const auto& upload : world.uploads) {
    const auto it = world.complete_bodies.find(upload->id);
    const bool arrived = it != world.complete_bodies.end();
    const bool is_correct =
        arrived && it->second == MakeWholeUploadBody(world, *upload);
    const bool whole = upload->end == UploadOutcome::kWhole;
    result.whole += whole ? 1 : 0;
    result.errors += upload->end == UploadOutcome::kError ? 1 : 0;
    result.pending += upload->end == UploadOutcome::kNone ? 1 : 0;
    result.resumed += whole && upload->resent ? 1 : 0;
    result.broken += whole && !is_correct ? 1 : 0;
    result.mixed += arrived && !is_correct ? 1 : 0;
  }
  for (const auto& [part, runs] : world.part_runs) {
    result.doubled_parts += runs > 1 ? 1 : 0;
  }
  return result;
}

}  // namespace

auto RunUploadScenario(const UploadScenario& scenario) -> UploadResult {
  World world{scenario};
  world.net.SetLinkRule(
      [&scenario](std::uint64_t, std::uint64_t) { return scenario.link; });
  world.gate = MakeCoapGate(
      {.gate = {.target = TargetId{1}, .incarnation = Incarnation{1}},
       .token_keys = {{1, 2, 3}}});
  for (std::size_t n = 0; n < scenario.uploads; ++n) {
    world.uploads.push_back(std::make_unique<Upload>());
    auto& upload = *world.uploads.back();
    upload.number = n;
    upload.id = "u" + std::to_string(n);
    world.net.ScheduleAction(
        TimePoint{scenario.between * static_cast<int>(n)},
        [&world, &upload] { SendCurrentPart(world, upload); });
  }
  constexpr seconds kRunTime{120};
  world.net.RunUntil(TimePoint{kRunTime});
  return SummarizeUploads(world);
}

}  // namespace hawthornbank::bench
