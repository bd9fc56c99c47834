#ifndef HAWTHORNBANK_PROTOCOL_ROUTE_CODEC_H_
#define HAWTHORNBANK_PROTOCOL_ROUTE_CODEC_H_

#include <string>

#include "hawthornbank/routes.h"

/// @file
/// Encoding of routes that processes of a fleet send one another: a compressed
/// cereal archive of what routing needs.
///
/// Load pattern: thousands of routes that change several times a second, on
/// hosts with a twentieth of a core. Decoding the platform's JSON document
/// would take all of such a host's processor.
namespace hawthornbank {

/// Maximum number of routes in an encoding.
inline constexpr std::uint64_t kMaxEncodedRoutes = 100'000;

/// Encodes routes.
/// @param routes The routes.
/// @return The encoding; any bytes.
auto EncodeRoutes(const RouteSet& routes) -> std::string;

/// Decodes routes.
/// @param encoded Output of EncodeRoutes().
/// @return The routes.
/// @throws Error kMalformed when the encoding is incomplete or its numbers are
///   out of range; kTooLarge when memory for decompression is missing.
auto DecodeRoutes(const std::string& encoded) -> RouteSet;

/// Appends the history of routes to their encoding. Times are encoded as ages,
/// as processes have different clocks.
/// @param encoded_routes Output of EncodeRoutes().
/// @param history History of the routes.
/// @param now Current time.
/// @return The encoding of both; any bytes.
auto EncodeRoutesWithHistory(const std::string& encoded_routes,
                             const RouteHistory& history,
                             TimePoint now) -> std::string;

/// The parts of an encoding of routes and their history.
struct RoutesWithHistory {
  std::string encoded_routes;  ///< Output of EncodeRoutes().
  RouteHistory history;
};

/// Separates routes and their history.
/// @param encoded Output of EncodeRoutesWithHistory().
/// @param now Current time.
/// @return The parts.
/// @throws Error kMalformed when the encoding is incomplete or its numbers are
///   out of range; kTooLarge when memory for decompression is missing.
auto DecodeRoutesWithHistory(const std::string& encoded, TimePoint now)
    -> RoutesWithHistory;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_ROUTE_CODEC_H_
