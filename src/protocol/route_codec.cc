#include "protocol/route_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

#include "hawthornbank/wire.h"
#include "protocol/compression.h"

namespace hawthornbank {
namespace {

template <class Archive>
auto SerializeMilliseconds(Archive& archive, Duration& time) -> void {
  auto count = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  wire::SerializeVarint(archive, count);
  time = std::chrono::milliseconds{count};
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
    RouteSet routes{
        .version = head.version,
        .idle_timeout = std::chrono::milliseconds{head.idle_timeout_ms}};
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

}  // namespace hawthornbank
