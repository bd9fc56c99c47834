#ifndef HAWTHORNBANK_FLOW_KEY_H_
#define HAWTHORNBANK_FLOW_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "hawthornbank/types.h"

/// @file
/// Identity of a flow: the packets between one caller and one service.
namespace hawthornbank {

/// Identity of a flow. The service is part of the identity, because one service
/// may reuse the address of another.
struct FlowKey {
  ServiceId service{};
  Endpoint caller;
  Endpoint address;  ///< The service's address that the caller used.
  Transport transport = Transport::kUdp;

  auto operator<=>(const FlowKey&) const = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, caller, address, transport);
  }
};

/// Hashes a flow for routing; every host computes the same hash.
/// @param key The flow.
/// @return A well-mixed 64-bit hash of the flow's caller and service.
constexpr auto HashFlow(const FlowKey& key) -> std::uint64_t {
  constexpr std::uint64_t kMix1 = 0xBF58476D1CE4E5B9ULL;
  constexpr std::uint64_t kMix2 = 0x94D049BB133111EBULL;
  std::uint64_t hash =
      (std::uint64_t{key.caller.address} << 32U) ^
      (std::uint64_t{key.caller.port} << 16U) ^
      (std::uint64_t{ToInteger(key.service)} * 0x9E3779B97F4A7C15ULL);
  hash = (hash ^ (hash >> 30U)) * kMix1;
  hash = (hash ^ (hash >> 27U)) * kMix2;
  return hash ^ (hash >> 31U);
}

}  // namespace hawthornbank

template <>
struct std::hash<hawthornbank::FlowKey> {
  auto operator()(const hawthornbank::FlowKey& key) const noexcept
      -> std::size_t {
    return hawthornbank::HashFlow(key);
  }
};

#endif  // HAWTHORNBANK_FLOW_KEY_H_
