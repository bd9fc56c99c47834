#include "coordination/configuration_transfer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/compression.h"

namespace hawthornbank::detail {
namespace {

using nlohmann::json;

/// Bytes of a part: with headers it fits a packet of 1,500 bytes.
constexpr std::size_t kPartBytes = 1200;
/// Parts that one fetch asks for, so that the receiver sets the pace.
constexpr std::size_t kPartsPerFetch = 16;
/// Most parts that a value of the platform can have.
constexpr std::uint16_t kMaxParts = 1000;
/// Silence after which missing parts are asked for again.
constexpr std::chrono::milliseconds kFetchTimeout{200};
/// Repeats before another peer's offer is taken.
constexpr int kMaxStalls = 4;

/// What is sent, compressed: the whole value, or a difference from a base.
struct Payload {
  Generation base{};
  std::string bytes;
};

/// @return The whole value, compressed once, since many peers ask for it.
auto PackedValue(ConfigurationStore& store) -> const std::string& {
  auto it = store.differences.find(Generation{});
  if (it == store.differences.end()) {
    it = store.differences.emplace(Generation{}, Compress(store.value)).first;
  }
  return it->second;
}

/// @return The difference from an earlier value; worked out once, since many
///     peers ask for the same.
auto DifferenceFrom(ConfigurationStore& store,
                    Generation base,
                    const std::string& earlier) -> const std::string& {
  auto it = store.differences.find(base);
  if (it == store.differences.end()) {
    auto patch = json::diff(json::parse(earlier), json::parse(store.value));
    it = store.differences.emplace(base, Compress(patch.dump())).first;
  }
  return it->second;
}

auto MakePayload(ConfigurationStore& store, Generation base) -> Payload {
  const auto& value = PackedValue(store);
  const auto it = store.earlier.find(base);
  if (it != store.earlier.end()) {
    const auto& difference = DifferenceFrom(store, base, it->second);
    if (difference.size() < value.size()) {
      return Payload{.base = base, .bytes = difference};
    }
  }
  return Payload{.base = {}, .bytes = value};
}

/// @return The value that a payload stands for, or nothing.
auto ApplyPayload(const ConfigurationStore& store, const Payload& payload)
    -> std::optional<std::string> {
  try {
    auto text = Decompress(payload.bytes);
    if (payload.base == Generation{}) {
      return text;
    }
    if (payload.base != GenerationInForce(store)) {
      return std::nullopt;
    }
    return json::parse(store.value).patch(json::parse(text)).dump();
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const Error&) {
    return std::nullopt;
  }
}

auto AskForMissing(ConfigurationStore& store, ConfigurationActions& actions)
    -> void {
  auto& transfer = *store.transfer;
  ConfigurationFetch fetch{.generation = transfer.generation,
                           .base = GenerationInForce(store),
                           .parts = {}};
  for (std::size_t n = 0;
       n < transfer.parts.size() && fetch.parts.size() < kPartsPerFetch; ++n) {
    if (transfer.parts[n].empty()) {
      fetch.parts.push_back(static_cast<std::uint16_t>(n));
    }
  }
  transfer.requested = fetch.parts.size();
  actions.push_back(
      SendConfiguration{.to = transfer.from, .message = std::move(fetch)});
}

/// @return Whether a part belongs to the transfer that runs.
auto Belongs(const std::optional<ConfigurationTransfer>& transfer,
             HostId from,
             const ConfigurationChunk& chunk) -> bool {
  if (!transfer || transfer->from != from ||
      transfer->generation != chunk.generation || chunk.bytes.empty() ||
      chunk.index >= chunk.count || chunk.count > kMaxParts) {
    return false;
  }
  return transfer->parts.empty() ||
         (transfer->parts.size() == chunk.count &&
          transfer->hash == chunk.hash && transfer->base == chunk.base);
}

auto FinishTransfer(ConfigurationStore& store) -> std::optional<std::string> {
  const auto transfer = std::move(*store.transfer);
  store.transfer.reset();
  const Payload payload{
      .base = transfer.base,
      .bytes = std::accumulate(transfer.parts.begin(), transfer.parts.end(),
                               std::string())};
  auto value = ApplyPayload(store, payload);
  if (!value || HashName(*value) != transfer.hash) {
    ++store.counters.corrupt_transfers;
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto StartTransfer(ConfigurationStore& store,
                   HostId from,
                   Generation generation,
                   TimePoint now,
                   ConfigurationActions& actions) -> void {
  if (store.transfer && store.transfer->generation >= generation) {
    return;
  }
  store.transfer = ConfigurationTransfer{
      .from = from, .generation = generation, .last_progress = now};
  AskForMissing(store, actions);
}

auto RepeatTransfer(ConfigurationStore& store,
                    TimePoint now,
                    ConfigurationActions& actions) -> void {
  if (!store.transfer || now - store.transfer->last_progress < kFetchTimeout) {
    return;
  }
  store.transfer->last_progress = now;
  if (++store.transfer->stalls > kMaxStalls) {
    store.transfer.reset();
    return;
  }
  AskForMissing(store, actions);
}

auto ServeFetch(ConfigurationStore& store,
                HostId from,
                const ConfigurationFetch& fetch,
                ConfigurationActions& actions) -> void {
  const auto payload = MakePayload(store, fetch.base);
  const auto count = (payload.bytes.size() + kPartBytes - 1) / kPartBytes;
  auto parts = fetch.parts;
  if (parts.empty()) {
    parts.resize(std::min(count, kPartsPerFetch));
    std::iota(parts.begin(), parts.end(), std::uint16_t{0});
  }
  parts.resize(std::min(parts.size(), kPartsPerFetch));
  const auto hash = HashName(store.value);
  for (const auto index : parts) {
    if (index >= count) {
      continue;
    }
    actions.push_back(SendConfiguration{
        .to = from,
        .message = ConfigurationChunk{
            .generation = GenerationInForce(store),
            .base = payload.base,
            .hash = hash,
            .count = static_cast<std::uint16_t>(count),
            .index = index,
            .bytes = payload.bytes.substr(index * kPartBytes, kPartBytes)}});
  }
}

auto TakeChunk(ConfigurationStore& store,
               HostId from,
               const ConfigurationChunk& chunk,
               TimePoint now,
               ConfigurationActions& actions) -> std::optional<std::string> {
  if (!Belongs(store.transfer, from, chunk)) {
    return std::nullopt;
  }
  auto& transfer = *store.transfer;
  if (transfer.parts.empty()) {
    transfer.parts.resize(chunk.count);
    transfer.hash = chunk.hash;
    transfer.base = chunk.base;
    transfer.requested = std::min<std::size_t>(chunk.count, kPartsPerFetch);
  }
  auto& part = transfer.parts[chunk.index];
  if (!part.empty()) {
    return std::nullopt;
  }
  part = chunk.bytes;
  transfer.last_progress = now;
  transfer.stalls = 0;
  const bool whole = std::none_of(transfer.parts.begin(), transfer.parts.end(),
                                  [](const auto& it) { return it.empty(); });
  if (whole) {
    return FinishTransfer(store);
  }
  if (transfer.requested > 0 && --transfer.requested == 0) {
    AskForMissing(store, actions);
  }
  return std::nullopt;
}

}  // namespace hawthornbank::detail
