#ifndef HAWTHORNBANK_TYPES_H_
#define HAWTHORNBANK_TYPES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

/// @file
/// Basic types that every layer uses. They do no I/O.
namespace hawthornbank {

/// Time interval, in nanoseconds throughout the core library.
using Duration = std::chrono::nanoseconds;

/// Clock of the core library. CoreClock has no now(): the program that embeds
/// the core passes the current time to each call.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;
};

/// Monotonic time, counted from an origin that the embedding program chooses.
using TimePoint = CoreClock::time_point;

/// Wall-clock time, used only for times that users or the platform specify.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(address, port);
  }
};

/// Identity of a service. An identity is never reused; an address may be
/// reused.
enum class ServiceId : std::uint32_t {};
/// Identity of a target: a hash of its configured name.
enum class TargetId : std::uint64_t {};
/// Identity of a host that runs a process of the system.
enum class HostId : std::uint64_t {};
/// Version of the configuration in force; grows by one with each change.
enum class Generation : std::uint64_t {};
/// Number of a process start; a restarted process has a larger incarnation.
enum class Incarnation : std::uint64_t {};
/// Fencing epoch of a lease; grows each time a process acquires the lease.
enum class Epoch : std::uint64_t {};

/// Transport protocol of a flow, by its IANA number.
enum class Transport : std::uint8_t { kTcp = 6, kUdp = 17 };

/// Converts a strongly typed identifier to its underlying integer.
/// @param id A value of one of the enumerations above.
/// @return The underlying integer.
template <class Id>
constexpr auto ToInteger(Id id) -> std::underlying_type_t<Id> {
  return static_cast<std::underlying_type_t<Id>>(id);
}

/// Formats an endpoint as "a.b.c.d:port".
/// @param endpoint Address and port in host byte order.
/// @return Dotted text.
auto ToString(Endpoint endpoint) -> std::string;

/// Parses "a.b.c.d:port".
/// @param text Dotted address and decimal port.
/// @return The endpoint.
/// @throws Error kInvalidSettings when the text is not an IPv4 endpoint.
auto ParseEndpoint(const std::string& text) -> Endpoint;

/// Hashes a name into a stable 64-bit identity (XXH3).
/// @param name Any text.
/// @return The hash, the same on every host and in every version.
auto HashName(const std::string& name) -> std::uint64_t;

}  // namespace hawthornbank

template <>
struct std::hash<hawthornbank::Endpoint> {
  auto operator()(const hawthornbank::Endpoint& endpoint) const noexcept
      -> std::size_t {
    return std::hash<std::uint64_t>{}((std::uint64_t{endpoint.address} << 16U) |
                                      endpoint.port);
  }
};

#endif  // HAWTHORNBANK_TYPES_H_
