#include "protocol/route_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

#include "hawthornbank/wire.h"
#include "protocol/compression.h"

namespace hawthornbank {
namespace {

// Longest time that is decoded. A peer may send any number.
constexpr std::uint64_t kMaxDecodedMs = 86'400'000;

auto DecodeMilliseconds(std::uint64_t count) -> Duration {
  return std::chrono::milliseconds{std::min(count, kMaxDecodedMs)};
}

template <class Archive>
auto SerializeMilliseconds(Archive& archive, Duration& time) -> void {
  auto count = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  wire::SerializeVarint(archive, count);
  time = DecodeMilliseconds(count);
}

template <class Archive>
auto SerializeTerms(Archive& archive, RequestTerms& terms) -> void {
  archive(terms.priority);
  wire::SerializeBool(archive, terms.is_repeatable);
  SerializeMilliseconds(archive, terms.goal);
  SerializeMilliseconds(archive, terms.timeout);
}

template <class Archive>
auto SerializeRoute(Archive& archive, Endpoint& address, Route& route) -> void {
  archive(address.address, address.port);
  std::uint64_t shares = route.shares.size();
  wire::SerializeLength(archive, shares, wire::kMaxListLength);
  route.shares.resize(shares);
  for (auto& it : route.shares) {
    archive(it.service);
    wire::SerializeVarint(archive, it.weight);
  }
  SerializeTerms(archive, route.terms);
}

template <class Archive>
auto SerializeServices(
    Archive& archive,
    std::unordered_map<std::uint32_t, ServiceSettings>& services) -> void {
  std::uint64_t count = services.size();
  wire::SerializeLength(archive, count, wire::kMaxListLength);
  if constexpr (Archive::is_saving::value) {
    for (auto& [service, settings] : services) {
      archive(service, settings.warmup_requests_per_second);
    }
  } else {
    for (std::uint64_t n = 0; n < count; ++n) {
      std::uint32_t service = 0;
      archive(service);
      archive(services[service].warmup_requests_per_second);
    }
  }
}

// What precedes the routes.
struct RoutesHead {
  std::uint64_t version = 0;
  std::uint64_t idle_timeout_ms = 0;
  std::uint64_t route_count = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeVarint(archive, version);
    wire::SerializeVarint(archive, idle_timeout_ms);
    wire::SerializeLength(archive, route_count, kMaxEncodedRoutes);
  }
};

// The size of the encoded routes precedes them, most significant byte first.
constexpr std::size_t kSizeBytes = 4;

auto EncodeSize(std::size_t size) -> std::string {
  std::string bytes;
  for (std::size_t n = kSizeBytes; n > 0; --n) {
    bytes.push_back(static_cast<char>(size >> (8 * (n - 1))));
  }
  return bytes;
}

auto DecodeSize(const std::string& encoded) -> std::size_t {
  std::size_t size = 0;
  for (std::size_t n = 0; n < kSizeBytes && n < encoded.size(); ++n) {
    size = size << 8U | static_cast<unsigned char>(encoded[n]);
  }
  if (encoded.size() < kSizeBytes + size) {
    throw Error(ErrorKind::kMalformed, "routes of a peer: incomplete");
  }
  return size;
}

// Ages above this one are encoded as this one: the flows have ended long ago.
constexpr Duration kMaxEncodedAge = std::chrono::hours{1};

// Encodes a time as an age. An age that can't be told counts as no age at all.
template <class Archive>
auto SerializeAge(Archive& archive, TimePoint& time, TimePoint now) -> void {
  Duration age{};
  if constexpr (Archive::is_saving::value) {
    age = time >= now ? Duration{} : std::min(now - time, kMaxEncodedAge);
  }
  SerializeMilliseconds(archive, age);
  if constexpr (!Archive::is_saving::value) {
    if (age > kMaxEncodedAge || age < Duration{}) {
      throw Error(ErrorKind::kMalformed, "age is out of range");
    }
    time = now - age;
  }
}

template <class Archive>
auto SerializeFormerServices(Archive& archive,
                             Endpoint& address,
                             std::vector<FormerService>& services,
                             TimePoint now) -> void {
  archive(address.address, address.port);
  std::uint64_t count = services.size();
  wire::SerializeLength(archive, count, wire::kMaxListLength);
  services.resize(count);
  for (auto& it : services) {
    archive(it.service);
    SerializeAge(archive, it.last_routed_at, now);
  }
}

}  // namespace

auto EncodeRoutes(const RouteSet& routes) -> std::string {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  const auto idle_timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          routes.idle_timeout);
  archive(RoutesHead{
      .version = routes.version,
      .idle_timeout_ms = static_cast<std::uint64_t>(idle_timeout.count()),
      .route_count = routes.routes.size()});
  for (const auto& [address, route] : routes.routes) {
    Endpoint written_address = address;
    Route written_route = route;
    SerializeRoute(archive, written_address, written_route);
  }
  auto services = routes.services;
  SerializeServices(archive, services);
  return CompressText(stream.str(), CompressionEffort::kFastest);
}

auto DecodeRoutes(const std::string& encoded) -> RouteSet {
  try {
    std::istringstream stream(DecompressText(encoded));
    cereal::PortableBinaryInputArchive archive(stream);
    RoutesHead head;
    archive(head);
    RouteSet routes{.version = head.version,
                    .idle_timeout = DecodeMilliseconds(head.idle_timeout_ms)};
    routes.routes.reserve(head.route_count);
    for (std::uint64_t n = 0; n < head.route_count; ++n) {
      Endpoint address;
      Route route;
      SerializeRoute(archive, address, route);
      routes.routes.emplace(address, std::move(route));
    }
    SerializeServices(archive, routes.services);
    return routes;
  } catch (const cereal::Exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("routes of a peer: ") + error.what());
  }
}

auto EncodeRoutesWithHistory(const std::string& encoded_routes,
                             const RouteHistory& history,
                             TimePoint now) -> std::string {
  std::ostringstream text;
  {
    cereal::PortableBinaryOutputArchive archive(text);
    TimePoint complete_since = history.complete_since;
    SerializeAge(archive, complete_since, now);
    std::uint64_t count = history.former.size();
    wire::SerializeLength(archive, count, kMaxEncodedRoutes);
    for (const auto& [address, services] : history.former) {
      Endpoint written_address = address;
      auto written_services = services;
      SerializeFormerServices(archive, written_address, written_services, now);
    }
  }
  return EncodeSize(encoded_routes.size()) + encoded_routes +
         CompressText(text.str(), CompressionEffort::kFastest);
}

auto DecodeRoutesWithHistory(const std::string& encoded, TimePoint now)
    -> RoutesWithHistory {
  try {
    RoutesWithHistory decoded;
    const std::size_t routes_size = DecodeSize(encoded);
    decoded.encoded_routes = encoded.substr(kSizeBytes, routes_size);
    std::istringstream stream(
        DecompressText(encoded.substr(kSizeBytes + routes_size)));
    cereal::PortableBinaryInputArchive archive(stream);
    SerializeAge(archive, decoded.history.complete_since, now);
    std::uint64_t count = 0;
    wire::SerializeLength(archive, count, kMaxEncodedRoutes);
    for (std::uint64_t n = 0; n < count; ++n) {
      Endpoint address;
      std::vector<FormerService> services;
      SerializeFormerServices(archive, address, services, now);
      decoded.history.former.emplace(address, std::move(services));
    }
    return decoded;
  } catch (const cereal::Exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("history of routes of a peer: ") + error.what());
  }
}

}  // namespace hawthornbank
