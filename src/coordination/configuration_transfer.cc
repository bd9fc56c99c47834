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

/// Size of a part in bytes. A part with headers fits a packet of 1,500 bytes.
constexpr std::size_t kPartBytes = 1200;
/// Maximum number of parts that one fetch requests. The process that fetches
/// thereby controls the rate at which parts are sent.
constexpr std::size_t kPartsPerFetch = 16;
/// Maximum number of parts of a transfer that this process accepts.
constexpr std::uint16_t kMaxParts = 1000;
/// Time without a new part after which missing parts are requested again.
constexpr std::chrono::milliseconds kFetchTimeout{200};
/// Maximum number of successive fetch retries. After these, the transfer is
/// abandoned, so that another peer's offer can start a new transfer.
constexpr int kMaxFetchRetries = 4;

/// Compressed content of a transfer: the whole value (base 0), or the
/// difference from the value of a base generation.
struct TransferPayload {
  Generation base{};
  std::string bytes;
};

/// @return The compressed value in force; cached, since many peers request the
///     same value.
auto GetCompressedValue(ConfigurationStore& store) -> const std::string& {
  auto it = store.compressed_payloads.find(Generation{});
  if (it == store.compressed_payloads.end()) {
    it = store.compressed_payloads
             .emplace(Generation{}, CompressText(store.value))
             .first;
  }
  return it->second;
}

/// @return The compressed difference between an earlier value and the value in
///     force; cached, since many peers request the same difference.
auto GetCompressedDifference(ConfigurationStore& store,
                             Generation base,
                             const std::string& earlier) -> const std::string& {
  auto it = store.compressed_payloads.find(base);
  if (it == store.compressed_payloads.end()) {
    auto patch = json::diff(json::parse(earlier), json::parse(store.value));
    it = store.compressed_payloads.emplace(base, CompressText(patch.dump()))
             .first;
  }
  return it->second;
}

auto MakeSmallestTransferPayload(ConfigurationStore& store, Generation base)
    -> TransferPayload {
  const auto& value = GetCompressedValue(store);
  const auto it = store.earlier_values.find(base);
  if (it != store.earlier_values.end()) {
    const auto& difference = GetCompressedDifference(store, base, it->second);
    if (difference.size() < value.size()) {
      return TransferPayload{.base = base, .bytes = difference};
    }
  }
  return TransferPayload{.base = {}, .bytes = value};
}

/// @return The configuration value that a payload encodes; empty when the
///     payload is malformed or its base generation is not in force here.
auto DecodeTransferPayload(const ConfigurationStore& store,
                           const TransferPayload& payload)
    -> std::optional<std::string> {
  try {
    auto text = DecompressText(payload.bytes);
    if (payload.base == Generation{}) {
      return text;
    }
    if (payload.base != GetGenerationInForce(store)) {
      return std::nullopt;
    }
    return json::parse(store.value).patch(json::parse(text)).dump();
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const Error&) {
    return std::nullopt;
  }
}

auto RequestMissingParts(ConfigurationStore& store,
                         ConfigurationActions& actions) -> void {
  auto& transfer = *store.transfer;
  ConfigurationFetch fetch{.generation = transfer.generation,
                           .base = GetGenerationInForce(store),
                           .parts = {}};
  for (std::size_t n = 0;
       n < transfer.parts.size() && fetch.parts.size() < kPartsPerFetch; ++n) {
    if (transfer.parts[n].empty()) {
      fetch.parts.push_back(static_cast<std::uint16_t>(n));
    }
  }
  transfer.outstanding_parts = fetch.parts.size();
  actions.push_back(SendConfigurationMessage{.to = transfer.from,
                                             .message = std::move(fetch)});
}

/// @return Whether a part is valid and belongs to the transfer in progress.
auto BelongsToCurrentTransfer(
    const std::optional<ConfigurationTransfer>& transfer,
    HostId from,
    const ConfigurationPart& part) -> bool {
  if (!transfer || transfer->from != from ||
      transfer->generation != part.generation || part.bytes.empty() ||
      part.index >= part.count || part.count > kMaxParts) {
    return false;
  }
  return transfer->parts.empty() ||
         (transfer->parts.size() == part.count && transfer->hash == part.hash &&
          transfer->base == part.base);
}

auto EndTransferAndDecodeValue(ConfigurationStore& store)
    -> std::optional<std::string> {
  const auto transfer = std::move(*store.transfer);
  store.transfer.reset();
  const TransferPayload payload{
      .base = transfer.base,
      .bytes = std::accumulate(transfer.parts.begin(), transfer.parts.end(),
                               std::string())};
  auto value = DecodeTransferPayload(store, payload);
  if (!value || HashName(*value) != transfer.hash) {
    ++store.counters.corrupt_transfers;
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto StartConfigurationTransfer(ConfigurationStore& store,
                                HostId from,
                                Generation generation,
                                TimePoint now,
                                ConfigurationActions& actions) -> void {
  if (store.transfer && store.transfer->generation >= generation) {
    return;
  }
  store.transfer = ConfigurationTransfer{
      .from = from, .generation = generation, .last_progress = now};
  RequestMissingParts(store, actions);
}

auto RetryOrAbandonStalledTransfer(ConfigurationStore& store,
                                   TimePoint now,
                                   ConfigurationActions& actions) -> void {
  if (!store.transfer || now - store.transfer->last_progress < kFetchTimeout) {
    return;
  }
  store.transfer->last_progress = now;
  if (++store.transfer->retries > kMaxFetchRetries) {
    store.transfer.reset();
    return;
  }
  RequestMissingParts(store, actions);
}

auto SendRequestedParts(ConfigurationStore& store,
                        HostId from,
                        const ConfigurationFetch& fetch,
                        ConfigurationActions& actions) -> void {
  const auto payload = MakeSmallestTransferPayload(store, fetch.base);
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
    actions.push_back(SendConfigurationMessage{
        .to = from,
        .message = ConfigurationPart{
            .generation = GetGenerationInForce(store),
            .base = payload.base,
            .hash = hash,
            .count = static_cast<std::uint16_t>(count),
            .index = index,
            .bytes = payload.bytes.substr(index * kPartBytes, kPartBytes)}});
  }
}

auto HandleConfigurationPart(ConfigurationStore& store,
                             HostId from,
                             const ConfigurationPart& part,
                             TimePoint now,
                             ConfigurationActions& actions)
    -> std::optional<std::string> {
  if (!BelongsToCurrentTransfer(store.transfer, from, part)) {
    return std::nullopt;
  }
  auto& transfer = *store.transfer;
  if (transfer.parts.empty()) {
    transfer.parts.resize(part.count);
    transfer.hash = part.hash;
    transfer.base = part.base;
    transfer.outstanding_parts =
        std::min<std::size_t>(part.count, kPartsPerFetch);
  }
  auto& stored_part = transfer.parts[part.index];
  if (!stored_part.empty()) {
    return std::nullopt;
  }
  stored_part = part.bytes;
  transfer.last_progress = now;
  transfer.retries = 0;
  const bool whole = std::none_of(transfer.parts.begin(), transfer.parts.end(),
                                  [](const auto& it) { return it.empty(); });
  if (whole) {
    return EndTransferAndDecodeValue(store);
  }
  if (transfer.outstanding_parts > 0 && --transfer.outstanding_parts == 0) {
    RequestMissingParts(store, actions);
  }
  return std::nullopt;
}

}  // namespace hawthornbank::detail
