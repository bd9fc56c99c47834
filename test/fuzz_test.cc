#include <functional>
#include <string>
#include <vector>

#include "hawthornbank/coap_gate.h"
#include "hawthornbank/configuration.h"
#include "hawthornbank/error.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/random.h"
#include "hawthornbank/tunnel.h"
#include "protocol/message.h"
#include "protocol/sheet.h"
#include "protocol/status_json.h"
#include "transport/node_log_line.h"
#include "transport/node_log_reading.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

constexpr int kRuns = 20000;
const std::string kKeyText(64, 'a');
const Endpoint kCaller{.address = 0x0B000001, .port = 4000};
const Endpoint kAddress{.address = 0x0A000001, .port = 5683};

// Overwrites up to four bytes of a sample. One sample in four is also cut to a
// random size or extended by at most seven zero bytes.
auto MutateSample(Bytes sample, Random& random) -> Bytes {
  const auto changes = 1 + random(4);
  for (std::uint32_t n = 0; n < changes && !sample.empty(); ++n) {
    sample[random(static_cast<std::uint32_t>(sample.size()))] =
        static_cast<std::uint8_t>(random(256));
  }
  if (random(4) == 0) {
    sample.resize(random(static_cast<std::uint32_t>(sample.size() + 8)));
  }
  return sample;
}

auto DecodeMutatedSamples(const std::vector<Bytes>& samples,
                          const std::function<void(const Bytes&)>& decode)
    -> void {
  Random random(1);
  for (int n = 0; n < kRuns; ++n) {
    decode(MutateSample(samples[static_cast<std::size_t>(n) % samples.size()],
                        random));
  }
}

}  // namespace

TEST_GROUP(Fuzz){};

TEST(Fuzz, LogReaderAcceptsOnlyPlainTextInBounds) {
  const std::string text =
      "t=1790036980058 node=edge-1 kind=opening event=flow_relayed "
      "flow=10.0.0.1:5>10.0.0.2:6 reason=placed opening=7 copy=0 "
      "agent=10.0.0.3:7 service=#0000004d record=none asked=0 id=\"a b\" "
      "version=4";
  std::size_t parsed = 0;
  std::size_t skipped = 0;
  DecodeMutatedSamples({Bytes(text.begin(), text.end())}, [&](const Bytes& it) {
    const std::string mutated(it.begin(), it.end());
    transport::LogLineSplitter splitter(
        [&](std::string_view line,
            std::optional<transport::LogLineFault> fault) {
          const auto result = transport::ParseLogLine(line);
          const auto* const found = std::get_if<transport::LogLine>(&result);
          skipped += fault.has_value() || found == nullptr ? 1 : 0;
          if (found != nullptr) {
            ++parsed;
            CHECK(!transport::DescribeLogLine(*found, {}).empty());
            CHECK(transport::FindField(*found, "version").size() <=
                  mutated.size());
          }
        });
    splitter.AppendBytes(mutated.substr(0, mutated.size() / 2));
    splitter.AppendBytes(mutated.substr(mutated.size() / 2) + "\n");
    splitter.EndFile();
  });
  CHECK(parsed > 0);
  CHECK(skipped > 0);
}

TEST(Fuzz, PacketParserNeverReadsOutsideThePacket) {
  Bytes tcp = BuildUdpPacket(kCaller, kAddress, Bytes(24, 0));
  tcp[9] = 6;
  tcp[32] = 0x60;
  const Bytes udp = BuildUdpPacket(kCaller, kAddress, Bytes(24, 7));
  const Bytes icmp = BuildFlowReset(ParsePacket(udp));
  std::size_t malformed = 0;
  DecodeMutatedSamples({udp, tcp, icmp}, [&](const Bytes& bytes) {
    const auto view = ParsePacket(bytes);
    malformed += view.kind == PacketKind::kMalformed ? 1 : 0;
    CHECK(view.payload.size() <= bytes.size());
    const Bytes reset = BuildFlowReset(view);
    CHECK(reset.empty() || ParsePacket(reset).kind != PacketKind::kMalformed);
  });
  CHECK(malformed > 0);
}

TEST(Fuzz, TunnelDecoderRejectsChangedDatagrams) {
  const auto keys = DeriveKeyRing(kKeyText, "");
  Bytes buf(200);
  const TunnelHeader header{.service = ServiceId{1}, .walk_size = 3};
  buf.resize(EncodeTunnelPacket(header, Bytes(40, 1), keys.tunnel, buf));
  const std::vector<TunnelKey> accepted = {keys.tunnel};
  std::size_t accepted_changes = 0;
  DecodeMutatedSamples({buf}, [&](const Bytes& bytes) {
    accepted_changes +=
        bytes != buf && DecodeTunnelPacket(bytes, accepted) ? 1 : 0;
  });
  LONGS_EQUAL(0, accepted_changes);
}

TEST(Fuzz, ChangedMessagesAreRejectedWithAnErrorKind) {
  const auto keys = DeriveKeyRing(kKeyText, "");
  const Bytes hint = EncodeMessage(
      FlowHint{.flow = {.service = ServiceId{1}, .caller = kCaller}}, keys);
  const Bytes announcement = EncodeMessage(
      Announcement{.target = {.name = "fitquote-1", .zone = "civic-hall"}},
      keys);
  std::size_t refused = 0;
  DecodeMutatedSamples({hint, announcement}, [&](const Bytes& bytes) {
    try {
      DecodeMessage(bytes, keys);
    } catch (const Error& error) {
      ++refused;
      CHECK(error.kind() == ErrorKind::kUnauthenticated ||
            error.kind() == ErrorKind::kMalformed);
    }
  });
  CHECK(refused > kRuns / 2);
}

// A peer that has the key may still send a body that can't be decoded.
TEST(Fuzz, CorruptBodiesWithAValidDigestCauseOnlyMalformedErrors) {
  const auto keys = DeriveKeyRing(kKeyText, "");
  const Bytes digest = EncodeMessage(
      Digest{.bucket_checksums = {1, 2, 3},
             .targets = {{.name = "fitquote-1"}, {.name = "fitquote-2"}}},
      keys);
  const Bytes ack = EncodeMessage(
      AnnouncementAck{.has_view = true, .view = {.targets = {{}, {}}}}, keys);
  DecodeMutatedSamples({digest, ack}, [&](const Bytes& bytes) {
    try {
      DecodeMessage(WriteMessageHeaderAndDigest(bytes, keys), keys);
    } catch (const Error& error) {
      CHECK(error.kind() == ErrorKind::kMalformed);
    }
  });
}

// The platform, other processes and operators may send corrupt configurations,
// statuses and sheets.
TEST(Fuzz, CorruptTextsAreRejectedWithAnErrorKind) {
  const auto bytes_of = [](const std::string& text) {
    return Bytes(text.begin(), text.end());
  };
  const Bytes configuration = bytes_of(EncodeConfiguration(
      {.services = {{.name = "fitquote", .zones = {"civic-hall"}}},
       .demand = {{.day = "daily"}}}));
  const Bytes status = bytes_of(
      EncodeStatus({.role = "balancer", .targets = {{.name = "fitquote-1"}}}));
  const Bytes sheet = bytes_of(
      "service,transport,address,zones,slots,connections,targets,07:30\n"
      "fitquote,udp,127.0.0.1:5683,\"civic-hall\",3,2000,7,\"12,5\"\n");
  DecodeMutatedSamples({configuration, status, sheet}, [&](const Bytes& bytes) {
    const std::string text(bytes.begin(), bytes.end());
    for (const auto& decode : std::vector<std::function<void()>>{
             [&text]() { DecodeConfiguration(text); },
             [&text]() { DecodeStatus(text); },
             [&text]() { ParseSheet(text, "sheet.csv"); }}) {
      try {
        decode();
      } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::kMalformed ||
              error.kind() == ErrorKind::kInvalidSettings);
      }
    }
  });
}

// The samples are a confirmable POST /quote?rid=a1 and a piggybacked 2.04
// response.
TEST(Fuzz, CoapGateHandlesCorruptDatagramsOfCallersAndTargets) {
  const Bytes request = {0x42, 0x02, 0x12, 0x34, 0xAA, 0xBB, 0xB5,
                         'q',  'u',  'o',  't',  'e',  0x46, 'r',
                         'i',  'd',  '=',  'a',  '1',  0xFF, 'x'};
  const Bytes response = {0x62, 0x44, 0x12, 0x34, 0xAA, 0xBB, 0xFF, 'o', 'k'};
  auto gate = MakeCoapGate({.token_keys = {{1, 2, 3}}});
  const FlowKey flow{.service = ServiceId{1}, .caller = kCaller};
  Random random(1);
  GateActions actions;
  TimePoint now{std::chrono::seconds{100}};
  std::size_t action_count = 0;
  DecodeMutatedSamples({request, response}, [&](const Bytes& bytes) {
    now += std::chrono::milliseconds{5};
    actions.clear();
    OnCallerDatagram(gate, flow, bytes, now, random, actions);
    OnTargetDatagram(gate, flow, bytes, now, random, actions);
    OnCoapGateTick(gate, now, random, actions);
    action_count += actions.size();
  });
  CHECK(action_count > 0);
}
