#ifndef HAWTHORNBANK_FLOW_KEY_H_
#define HAWTHORNBANK_FLOW_KEY_H_

#include <compare>
#include <cstddef>
#include <functional>

#include "hawthornbank/types.h"

/// @file
/// Identity of a flow, the same at every host that sees its packets.
namespace hawthornbank {

/// One caller's flow to one service address.
struct FlowKey {
  ServiceId service{};
  Endpoint caller;
  Endpoint address;
  Transport transport = Transport::kUdp;

  auto operator<=>(const FlowKey&) const = default;
};

}  // namespace hawthornbank

template <>
struct std::hash<hawthornbank::FlowKey> {
  auto operator()(const hawthornbank::FlowKey& key) const noexcept
      -> std::size_t {
    constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15U;
    std::size_t hash = std::hash<hawthornbank::Endpoint>{}(key.caller);
    hash =
        hash * kMultiplier ^ std::hash<hawthornbank::Endpoint>{}(key.address);
    hash = hash * kMultiplier ^
           static_cast<std::size_t>(hawthornbank::ToInteger(key.service));
    return hash * kMultiplier ^
           static_cast<std::size_t>(hawthornbank::ToInteger(key.transport));
  }
};

#endif  // HAWTHORNBANK_FLOW_KEY_H_
