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
#include "hawthornbank/packet.h"
#include "hawthornbank/routes.h"
#include "hawthornbank/target_presence.h"
#include "hawthornbank/types.h"
#include "transport/http_client.h"

/// @file
/// What a platform has to provide so that a node can run on it: settings, and
/// functions that translate its packets, calls and objects.
namespace hawthornbank::transport {

/// Settings of a node.
struct NodeSettings {
  std::string name;
  HostRole role = HostRole::kBalancer;
  std::string zone;
  Endpoint control;   ///< UDP and TCP, for other processes of the system.
  Endpoint data;      ///< Packets of callers; its port is the callers' too.
  Endpoint outbound;  ///< Agents: packets of the target.
  Endpoint target;    ///< Agents: where the target receives packets.
  std::vector<Endpoint> http;   ///< Ready checks, heartbeats, metrics.
  std::vector<Endpoint> seeds;  ///< `control` of some balancers.
  Endpoint store;               ///< The platform's store.
  std::string service;          ///< Agents: the target's service.
  std::string metrics_path = "/metrics";
  /// Bytes a second that the host's link carries each way; 0: not known.
  std::uint64_t link_bytes_per_second = 0;
  Duration heartbeat = std::chrono::seconds{1};  ///< Of targets.
  Duration grace = std::chrono::seconds{6};      ///< From SIGTERM to SIGKILL.
};

/// The platform asks whether this node takes packets.
struct ReadyCall {};

/// A target goes.
struct DepartureCall {
  std::string id;
};

/// A call that can't be understood.
struct InvalidCall {
  int status = 400;
  std::string reason;
};

/// A call of the platform or a target.
using NodeCall =
    std::variant<ReadyCall, TargetHeartbeat, DepartureCall, InvalidCall>;

/// What the store answered about routes.
struct RoutesAnswer {
  bool understood = false;
  std::uint64_t revision = 0;      ///< Of the store.
  std::optional<RouteSet> routes;  ///< The newest, if it came along.
  std::string document;            ///< The same as it came, for peers.
  std::string failure;             ///< Why it isn't understood.
};

/// A page of the store's list of balancers.
struct HostPage {
  std::vector<Endpoint> hosts;
  std::string next;  ///< Where the next page goes on, or empty.
};

/// Bytes of a reset.
using ResetPacket = std::array<std::uint8_t, 32>;

/// Translations of a platform.
struct NodeCodec {
  std::function<std::optional<FlowPacket>(ByteView)> decode_packet;
  /// Sets the cursor and clears the mark of a returned packet.
  std::function<void(std::span<std::uint8_t>, std::uint32_t cursor)>
      prepare_packet;
  std::function<ResetPacket(const FlowKey&, std::uint32_t sequence)>
      encode_reset;
  std::function<NodeCall(std::string_view method,
                         std::string_view target,
                         std::string_view body)>
      decode_call;
  /// A call that lists the routes' objects.
  std::function<HttpRequest()> list_routes;
  /// A call whose small answer tells the store's revision.
  std::function<HttpRequest()> read_revision;
  std::function<std::optional<std::uint64_t>(int status,
                                             const std::string& body)>
      decode_revision;
  std::function<RoutesAnswer(int status, const std::string& body)>
      decode_routes;
  /// Reads the document that a peer passed on.
  std::function<std::optional<RouteSet>(const std::string& document)>
      decode_document;
  /// A call that lists balancers, going on after the last one of a page.
  std::function<HttpRequest(const std::string& after)> list_hosts;
  std::function<std::optional<HostPage>(int status, const std::string& body)>
      decode_hosts;
  std::function<HttpRequest(Endpoint host)> add_host;
  std::function<HttpRequest(Endpoint host)> remove_host;
  /// Reads the settings again; throws Error when they can't be read.
  std::function<NodeSettings()> load_settings;
  /// When the settings last changed, as a number that grows.
  std::function<std::int64_t()> settings_stamp;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_BINDING_H_
