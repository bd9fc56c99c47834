#include "transport/node_traffic.h"

#include <fmt/format.h>

namespace hawthornbank::transport {
namespace {

constexpr std::uint64_t kHeaderBytes = 28;  // IPv4 and UDP headers.

constexpr std::array<std::string_view, kDatagramKindCount> kKindNames = {
    "announcement", "heartbeat", "roster",   "query",
    "reply",        "relayed",   "returned",
};
static_assert(!kKindNames.back().empty());
constexpr std::array<std::string_view, 2> kDirectionNames = {"in", "out"};
constexpr std::array<std::string_view, 2> kScopeNames = {"same", "other"};

auto IsControlTraffic(DatagramKind kind) -> bool {
  return kind != DatagramKind::kRelayedPacket &&
         kind != DatagramKind::kReturnedPacket;
}

}  // namespace

auto ToString(DatagramKind kind) -> std::string_view {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

auto CountDatagram(NodeTraffic& traffic,
                   DatagramKind kind,
                   Direction direction,
                   ZoneScope scope,
                   std::size_t payload_bytes) -> void {
  DatagramCount& count = traffic.counts.at(static_cast<std::size_t>(kind))
                             .at(static_cast<std::size_t>(direction))
                             .at(static_cast<std::size_t>(scope));
  ++count.datagrams;
  count.bytes += payload_bytes + kHeaderBytes;
}

auto SumControlTraffic(const NodeTraffic& traffic, Direction direction)
    -> DatagramCount {
  DatagramCount sum;
  for (std::size_t kind = 0; kind < kDatagramKindCount; ++kind) {
    if (!IsControlTraffic(static_cast<DatagramKind>(kind))) {
      continue;
    }
    for (const auto& it :
         traffic.counts.at(kind).at(static_cast<std::size_t>(direction))) {
      sum.datagrams += it.datagrams;
      sum.bytes += it.bytes;
    }
  }
  return sum;
}

auto FormatTrafficMetrics(const NodeTraffic& traffic) -> std::string {
  std::string text;
  for (std::size_t kind = 0; kind < kDatagramKindCount; ++kind) {
    for (std::size_t way = 0; way < kDirectionNames.size(); ++way) {
      for (std::size_t scope = 0; scope < kScopeNames.size(); ++scope) {
        const DatagramCount& count = traffic.counts.at(kind).at(way).at(scope);
        if (count.datagrams == 0) {
          continue;
        }
        const auto labels = fmt::format(
            "kind=\"{}\",way=\"{}\",zone=\"{}\"", kKindNames.at(kind),
            kDirectionNames.at(way), kScopeNames.at(scope));
        text += fmt::format("hawthornbank_node_datagrams_total{{{}}} {}\n",
                            labels, count.datagrams);
        text += fmt::format("hawthornbank_node_bytes_total{{{}}} {}\n", labels,
                            count.bytes);
      }
    }
  }
  return text;
}

auto FormatTrafficSummary(const NodeTraffic& traffic) -> std::string {
  std::string text;
  for (std::size_t kind = 0; kind < kDatagramKindCount; ++kind) {
    const auto& [received, sent] = traffic.counts.at(kind);
    const auto& [received_same, received_other] = received;
    const auto& [sent_same, sent_other] = sent;
    text += fmt::format("{0}{1}={2}/{3} {1}_other={4}/{5}",
                        kind == 0 ? "" : " ", kKindNames.at(kind),
                        received_same.bytes + received_other.bytes,
                        sent_same.bytes + sent_other.bytes,
                        received_other.bytes, sent_other.bytes);
  }
  return text;
}

}  // namespace hawthornbank::transport
