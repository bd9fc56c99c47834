#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_BINDING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_BINDING_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_packet.h"
#include "hawthornbank/flow_terms.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/route_history.h"
#include "hawthornbank/routes.h"
#include "hawthornbank/store_position.h"
#include "hawthornbank/target_presence.h"
#include "hawthornbank/types.h"
#include "hawthornbank/zone_service.h"
#include "transport/http_client.h"

/// @file
/// Interface between a node and its platform: the settings, and functions that
/// encode and decode the platform's packets, HTTP requests and stored objects.
namespace hawthornbank::transport {

/// Settings of a node.
struct NodeSettings {
  std::string name;
  HostRole role = HostRole::kBalancer;
  std::string zone;
  /// Names of all zones of the platform, as far as it tells them.
  std::vector<std::string> zones;
  /// Receives datagrams (UDP) and fetches of routes (TCP) from other balancers
  /// and agents.
  Endpoint control;
  /// Receives callers' packets. Callers receive packets on the same port
  /// number.
  Endpoint data;
  Endpoint outbound;  ///< Agents: receives the target's packets.
  Endpoint target;    ///< Agents: endpoint where the target receives packets.
  /// Receive readiness checks, targets' heartbeats and requests for metrics.
  std::vector<Endpoint> http;
  std::vector<Endpoint> seeds;  ///< Control endpoints of some balancers.
  Endpoint store;               ///< The platform's store.
  std::string service;          ///< Agents: service of the target.
  std::string metrics_path = "/metrics";
  /// Capacity of the host's link in each direction, in bytes per second; 0:
  /// unknown.
  std::uint64_t link_bytes_per_second = 0;
  Duration heartbeat_interval =
      std::chrono::seconds{1};  ///< Interval of targets' heartbeats.
  /// Time from a target's end after which another target may get its address.
  Duration reuse_delay = kDefaultReuseDelay;
  Duration grace_period =
      std::chrono::seconds{6};  ///< Time from SIGTERM to SIGKILL.
  /// Time in which an availability zone that the operator takes out of service
  /// must get no new flows; 0: the platform takes no zones out of service.
  Duration zone_evacuation_time{};
  /// Time after which a flow may be discarded, however active it is.
  Duration flow_lifetime = kFlowLifetime;
  WarmupAllowance warmup;  ///< What cold targets may get beyond their rate.
  /// What NodeCodec::read_settings_version returns while the settings are as
  /// these were read.
  std::uint64_t version = 0;
};

/// Request with which the platform's routers check whether this node accepts
/// packets.
struct ReadinessRequest {};

/// Request with which a target announces its shutdown.
struct DeregistrationRequest {
  std::string id;
};

/// A request that can't be decoded.
struct InvalidRequest {
  int status = 400;  ///< HTTP status of the response.
  std::string reason;
};

/// A decoded HTTP request of the platform or a target.
using NodeRequest = std::variant<ReadinessRequest,
                                 TargetHeartbeat,
                                 DeregistrationRequest,
                                 InvalidRequest>;

/// A setting in the store that can't be used and counts as absent.
struct IgnoredSetting {
  std::string owner;  ///< Name of the service, or its place in the list.
  std::string field;
  std::string value;  ///< Beginning of the value's JSON text.
};

/// The store's response to a request for routes.
struct RoutesResponse {
  bool is_decoded = false;
  StorePosition position;          ///< Position of the store.
  std::optional<RouteSet> routes;  ///< The newest routes, if any are stored.
  /// JSON text of `routes`, for peers of an older build.
  std::string document;
  std::string failure;                  ///< Why decoding failed, or empty.
  std::vector<IgnoredSetting> ignored;  ///< Settings of `routes`.
  /// Name after which the next page begins, which may have the routes; empty if
  /// there is none.
  std::string next_after;
  /// Which entries and routes can't be used, and why; or empty.
  std::string skipped;
};

/// The store's response to a request for the zones out of service.
struct ZonesResponse {
  bool is_decoded = false;
  ZonesOutOfService zones;  ///< Those of the page.
  std::string next_after;   ///< As in RoutesResponse.
  std::string skipped;      ///< Which entries are malformed, and why; or empty.
  std::string failure;      ///< Why decoding failed, or empty.
};

/// A page of the store's list of balancers.
struct BalancerPage {
  std::vector<Endpoint> hosts;
  std::string next_after;  ///< Name after which the next page begins; empty on
                           ///< the last page.
  std::uint64_t era = 0;   ///< Era of the store.
  std::string skipped;     ///< Which entries can't be used, and why; or empty.
};

/// An encoded reset packet.
using ResetPacket = std::array<std::uint8_t, 32>;

/// Encoders and decoders for a platform.
struct NodeCodec {
  std::function<std::optional<FlowPacket>(ByteView)> decode_flow_packet;
  /// Prepares a packet for delivery to a target: sets the packet's return ID
  /// and clears the returned flag and the padding.
  std::function<void(std::span<std::uint8_t>, std::uint32_t return_id)>
      prepare_packet_for_target;
  std::function<ResetPacket(const FlowKey&, std::uint32_t sequence)>
      encode_reset_packet;
  std::function<NodeRequest(std::string_view method,
                            std::string_view target,
                            std::string_view body)>
      decode_node_request;
  /// Builds the request that lists the stored routes after a name.
  std::function<HttpRequest(const std::string& after)> make_list_routes_request;
  /// Builds a request whose small response contains the store's revision.
  std::function<HttpRequest()> make_read_revision_request;
  std::function<std::optional<StorePosition>(const HttpResponse& reply)>
      decode_store_position;
  std::function<RoutesResponse(const HttpResponse& reply)>
      decode_routes_response;
  /// Builds the request that lists the zones out of service after a name. Its
  /// response also contains the store's revision, and is as small while the
  /// list is empty.
  std::function<HttpRequest(const std::string& after)> make_list_zones_request;
  std::function<ZonesResponse(const HttpResponse& reply,
                              std::span<const std::string> known_zones)>
      decode_zones_response;
  /// Decodes the routes document that a peer of an older build sent.
  std::function<std::optional<RouteSet>(const std::string& document)>
      decode_routes_document;
  /// Builds the request that lists the balancers whose names follow `after`.
  std::function<HttpRequest(const std::string& after)>
      make_list_balancers_request;
  std::function<std::optional<BalancerPage>(const HttpResponse& reply)>
      decode_balancer_page;
  std::function<HttpRequest(Endpoint host)> make_add_balancer_request;
  std::function<HttpRequest(Endpoint host)> make_remove_balancer_request;
  /// Reads the settings again; throws Error when the settings are invalid.
  std::function<NodeSettings()> load_settings;
  /// Returns a number that is different after each change of the settings, such
  /// as a hash of their text.
  std::function<std::uint64_t()> read_settings_version;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_BINDING_H_
