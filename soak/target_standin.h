#ifndef HAWTHORNBANK_SOAK_TARGET_STANDIN_H_
#define HAWTHORNBANK_SOAK_TARGET_STANDIN_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/random.h"
#include "soak/node_settings.h"
#include "transport/http_client.h"
#include "transport/udp_socket.h"

/// @file
/// A target of the platform: takes flows, runs requests, returns packets of
/// flows that it doesn't hold, and announces itself to the agent beside it.
namespace hawthornbank::soak {

/// What a target tells of.
struct TargetEvents {
  std::function<void(std::uint64_t request)> on_run;
  std::function<void()> on_opening;
};

/// A target.
class TargetStandin {
 public:
  /// @param io Where it runs.
  /// @param host Its address.
  /// @param ports Ports of all hosts.
  /// @param service Its service.
  /// @param events Whom it tells.
  TargetStandin(asio::io_context& io,
                std::uint32_t host,
                const Ports& ports,
                std::string service,
                TargetEvents events);

  /// Ends it: all flows are gone and it is dark.
  auto Crash() -> void;

  /// Starts it anew after Crash.
  /// @param service Its service from now on.
  auto Restart(const std::string& service) -> void;

  /// From now on heartbeats say that it drains; flows end after an answer.
  auto Drain() -> void;

  /// Tells the agent that it goes, and ends.
  auto Depart() -> void;

  /// Whether it takes packets and answers none.
  auto SetMute(bool mute) -> void { mute_ = mute; }

  /// @param flow A flow, seen from the caller.
  /// @return Whether it lives and has the flow open.
  [[nodiscard]] auto Holds(const FlowKey& flow) const -> bool;

  [[nodiscard]] auto service() const -> const std::string& { return service_; }
  [[nodiscard]] auto alive() const -> bool { return alive_; }
  [[nodiscard]] auto mute() const -> bool { return mute_; }
  [[nodiscard]] auto draining() const -> bool { return draining_; }
  /// @return When an agent acknowledged that it drains; zero: none has.
  [[nodiscard]] auto drain_acknowledged() const -> TimePoint {
    return drain_acknowledged_;
  }

 private:
  struct Flow {
    std::uint32_t sequence = 0;  ///< With which it was accepted.
    bool open = false;           ///< The caller has acknowledged that.
    std::uint64_t answered = 0;  ///< Last request that is done.
    std::uint64_t running = 0;
  };

  auto Beat() -> void;
  auto OnPacket(ByteView bytes) -> void;
  auto OnRequest(const FlowPacket& packet, Flow& flow, std::uint64_t request)
      -> void;
  auto Answer(const FlowPacket& packet, std::uint64_t request) -> void;
  auto Send(const FlowPacket& packet, std::uint64_t request) -> void;

  asio::io_context& io_;
  Endpoint outbound_;
  Endpoint app_;
  transport::UdpSocket socket_;
  transport::HttpClient client_;
  asio::steady_timer beat_timer_;
  TargetEvents events_;
  std::string service_;
  Random random_;
  std::unordered_map<FlowKey, Flow> flows_;
  std::uint64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  TimePoint drain_acknowledged_{};
  bool alive_ = true;
  bool draining_ = false;
  bool mute_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_TARGET_STANDIN_H_
