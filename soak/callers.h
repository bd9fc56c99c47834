#ifndef HAWTHORNBANK_SOAK_CALLERS_H_
#define HAWTHORNBANK_SOAK_CALLERS_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/random.h"
#include "transport/udp_socket.h"

/// @file
/// Callers with short and long flows, behind routers that spray packets over
/// balancers. They repeat what isn't answered, as the platform's callers do.
namespace hawthornbank::soak {

/// An address that callers use.
struct CalledRoute {
  Endpoint address;
  std::string service;
};

/// A caller's flow.
struct CallerFlow {
  CalledRoute route;
  std::uint16_t port = 0;
  bool open = false;
  bool quiet = false;          ///< Its request was sent in the quiet end.
  bool reset = false;          ///< It ended with a reset.
  std::uint32_t sequence = 0;  ///< Of the target's acceptance.
  std::uint64_t request = 0;   ///< Waits for an answer.
  int requests_left = 0;       ///< After this one.
  int copies = 0;              ///< Of what was sent last.
  TimePoint first_sent{};
  TimePoint next_send{};
  std::map<std::size_t, TimePoint> takers;  ///< Balancers, when used last.
};

/// What callers tell of.
struct CallerEvents {
  std::function<void(const CallerFlow& flow)> on_request;
  std::function<void(const CallerFlow& flow, std::uint64_t answered)> on_answer;
  std::function<void(const CallerFlow& flow)> on_reset;
  std::function<void(const CallerFlow& flow, bool served)> on_outcome;
};

/// All callers of a soak.
class Callers {
 public:
  /// @param io Where they run.
  /// @param local Where they receive.
  /// @param balancers Data endpoints of all balancers.
  /// @param routes Addresses that they use.
  /// @param seed Chooses flows, addresses and losses.
  /// @param events Whom they tell.
  Callers(asio::io_context& io,
          Endpoint local,
          std::vector<Endpoint> balancers,
          std::vector<CalledRoute> routes,
          std::uint64_t seed,
          CallerEvents events);

  /// Opens new flows and repeats packets. Called each 20 ms.
  /// @param now The present instant.
  /// @param quiet Whether the quiet end has begun.
  auto Step(TimePoint now, bool quiet) -> void;

  /// Says which balancers the routers use; none means all.
  /// @param in_rotation One flag a balancer.
  auto SetRotation(std::vector<bool> in_rotation) -> void;

  /// @param share Share of packets to balancers that are lost.
  auto SetLoss(double share) -> void { loss_ = share; }

 private:
  auto Open(TimePoint now, bool quiet) -> void;
  auto Repeat(CallerFlow& flow, TimePoint now) -> bool;
  auto SendRequest(CallerFlow& flow, TimePoint now, bool quiet) -> void;
  auto Send(CallerFlow& flow, const FlowPacket& packet, TimePoint now) -> void;
  auto Choose(std::uint16_t port) const -> std::size_t;
  auto OnPacket(ByteView bytes) -> void;
  auto Finish(std::uint16_t port, bool served) -> void;

  transport::UdpSocket socket_;
  Endpoint local_;
  std::vector<Endpoint> balancers_;
  std::vector<bool> in_rotation_;
  std::vector<CalledRoute> routes_;
  CallerEvents events_;
  Random random_;
  std::map<std::uint16_t, CallerFlow> flows_;
  std::uint16_t next_port_ = 10'000;
  std::uint64_t next_request_ = 1;
  double loss_ = 0;
  bool quiet_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_CALLERS_H_
