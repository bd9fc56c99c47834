#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_

#include <fmt/format.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/random.h"
#include "protocol/node_message.h"
#include "transport/event_log.h"
#include "transport/http_server.h"
#include "transport/node_binding.h"
#include "transport/registry_client.h"
#include "transport/udp_socket.h"

/// @file
/// What both roles of a node share: the loop, the socket between processes,
/// announces and rosters, HTTP endpoints, signals and the settings file.
namespace hawthornbank::transport {

/// Interval of announces while too few hosts are known, as at a start.
inline constexpr Duration kSearchInterval = std::chrono::milliseconds{50};

/// Time for seeds to answer before the list of balancers is read.
inline constexpr Duration kSeedPatience = std::chrono::milliseconds{40};

/// Pause between two readings of that list while no balancer answers.
inline constexpr Duration kRegistryRetry = std::chrono::milliseconds{900};

/// Least time between two parts of a roster to one host.
inline constexpr Duration kRosterInterval = std::chrono::milliseconds{300};

/// Least time between two whole rosters to one host; between them only what
/// has changed lately is sent. A roster of 75 hosts takes about 4 KB.
inline constexpr Duration kWholeRosterInterval = std::chrono::seconds{3};

/// How long a change is sent to those that may lack it.
inline constexpr Duration kRecentChange = std::chrono::seconds{4};

/// Interval of slow duties: old flows, silent hosts, the settings file.
inline constexpr Duration kSlowInterval = std::chrono::seconds{1};

/// What a role adds to the host.
struct NodeRole {
  /// Fills the own record's changing parts and the load.
  std::function<void(HostRecord& record, TargetLoad& load)> describe;
  /// Handles a datagram that isn't a message.
  std::function<void(Endpoint from, ByteView datagram, TimePoint now)> on_relay;
  std::function<void(const FlowNote& note, TimePoint now)> on_note;
  std::function<void(const FlowQuery& query, TimePoint now)> on_query;
  std::function<void(const HostAnnounce& announce, TimePoint now)> on_announce;
  std::function<HttpAnswer(const HttpCall& call)> on_call;
  std::function<void(TimePoint now)> on_slow_tick;
  std::function<void(TimePoint now)> on_stop;  ///< First SIGTERM.
  std::function<void(const NodeSettings& settings)> on_settings;
  /// Fills in the version of the routes in force and its age.
  std::function<void(HostAnnounce& announce, TimePoint now)> version;
};

/// @param counts Packets by reason.
/// @return A line for each reason, in the metrics' format.
template <class Reason, std::size_t size>
auto ReasonLines(const std::array<std::uint64_t, size>& counts) -> std::string {
  std::string text;
  for (std::size_t n = 0; n < size; ++n) {
    text += fmt::format("hawthornbank_packets_total{{reason=\"{}\"}} {}\n",
                        ToString(static_cast<Reason>(n)), counts.at(n));
  }
  return text;
}

/// A node's process.
class NodeHost {
 public:
  /// @param settings Its settings.
  /// @param codec Translations of its platform.
  /// @param fleet What it knows of others; outlives it.
  NodeHost(NodeSettings settings, NodeCodec codec, Fleet& fleet);

  /// Starts everything and runs until Exit.
  /// @param role What the role adds.
  /// @return The exit code.
  auto Run(NodeRole role) -> int;

  /// Ends Run.
  auto Exit() -> void;

  /// Sends a datagram to another process.
  /// @param to Its endpoint between processes.
  /// @param datagram What to send.
  auto Send(Endpoint to, ByteView datagram) -> void;

  /// @param flow A flow.
  /// @return Where its caller receives packets.
  [[nodiscard]] auto CallerOf(const FlowKey& flow) const -> Endpoint;

  /// Tells a flow's caller that it is over.
  /// @param socket Sends it; callers take packets from either role.
  /// @param flow The flow.
  /// @param acknowledgement Of the caller's last packet.
  auto SendReset(UdpSocket& socket,
                 const FlowKey& flow,
                 std::uint32_t acknowledgement) const -> void;

  /// Announces the own record to all balancers now.
  /// @param now The present instant.
  auto Announce(TimePoint now) -> void;

  /// Calls a function once after a time.
  /// @param timer The timer to use.
  /// @param pause How long to wait.
  /// @param handler What to call.
  static auto After(asio::steady_timer& timer,
                    Duration pause,
                    std::function<void(TimePoint now)> handler) -> void;

  auto io() -> asio::io_context& { return io_; }
  auto log() -> EventLog& { return log_; }
  /// @return The socket between processes.
  [[nodiscard]] auto control() const -> const UdpSocket& { return control_; }
  auto registry() -> RegistryClient& { return *registry_; }
  [[nodiscard]] auto started() const -> TimePoint { return started_; }
  auto random() -> Random& { return random_; }
  [[nodiscard]] auto settings() const -> const NodeSettings& {
    return settings_;
  }
  [[nodiscard]] auto codec() const -> const NodeCodec& { return codec_; }
  [[nodiscard]] auto stopping() const -> bool { return stopping_; }

 private:
  // When a host was last sent records.
  struct RosterTimes {
    TimePoint any{};
    TimePoint whole{};
  };

  [[nodiscard]] auto CountBalancers() const -> std::size_t;
  auto OnDatagram(Endpoint from, ByteView datagram, TimePoint now) -> void;
  auto OnAnnounce(const HostAnnounce& announce, TimePoint now) -> void;
  auto OnRoster(const RosterPart& part, TimePoint now) -> void;
  auto TellAgents(ByteView announce, TimePoint now) -> void;
  auto NoteMerge(const HostRecord& record, MergeOutcome outcome, TimePoint now)
      -> void;
  auto SendRoster(const HostRecord& receiver, bool is_new, TimePoint now)
      -> void;
  auto Receivers() const -> std::vector<Endpoint>;
  [[nodiscard]] auto MakeAnnounce(TimePoint now) -> Bytes;
  [[nodiscard]] auto KnowsBalancers() const -> bool;
  auto SearchRegistry(TimePoint now) -> void;
  auto AnnounceTimer() -> void;
  auto SlowTimer() -> void;
  auto WaitForSignal() -> void;
  auto ReloadSettings(TimePoint now, const char* cause) -> void;

  NodeSettings settings_;
  NodeCodec codec_;
  Fleet& fleet_;
  asio::io_context io_;
  EventLog log_;
  Random random_;
  UdpSocket control_;
  std::unique_ptr<RegistryClient> registry_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  asio::steady_timer announce_timer_;
  asio::steady_timer slow_timer_;
  asio::signal_set signals_;
  NodeRole role_;
  std::unordered_map<Endpoint, RosterTimes> roster_sent_;
  std::vector<Endpoint> listed_;  ///< Balancers by the store's list.
  TimePoint started_;
  TimePoint search_at_{};
  std::int64_t settings_stamp_ = 0;
  std::uint64_t version_ = 0;  ///< Of the routes that were announced last.
  bool stopping_ = false;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_
