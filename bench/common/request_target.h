#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_TARGET_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/virtual_network.h"
#include "hawthornbank/coap_gate.h"
#include "protocol/coap_codec.h"

/// @file
/// A simulated target with its agent, behind the production request gate or a
/// baseline gate.
namespace hawthornbank::bench {

/// Gate between the callers and the target.
enum class GateKind : std::uint8_t {
  kReal,            ///< The project's request gate.
  kNone,            ///< Callers reach the target directly.
  kUnboundedQueue,  ///< Runs a repeated request once; refuses none.
};

/// Fault of a target that its health endpoint doesn't report (grey failure).
enum class TargetFault : std::uint8_t {
  kNone,
  kFails,   ///< Every answer is an error.
  kStalls,  ///< Requests that start never finish.
};

/// One start of a request at a target.
struct Run {
  std::string id;
  std::uint64_t target = 0;
  TimePoint when{};
};

/// One host with an agent and a target.
struct TargetHost {
  struct Work {
    FlowKey flow;
    CoapMessage request;
    std::string id;
  };

  std::uint64_t host = 0;
  GateKind kind = GateKind::kReal;
  CoapGateOptions options;
  CoapGate gate;
  /// Time of the next OnCoapGateTick call.
  TimePoint next_tick = TimePoint::max();
  std::uint64_t run_number = 0;  ///< Incremented by each start of the host.
  std::map<std::uint64_t, Work> running;
  std::uint64_t next_work = 0;
  std::deque<Work> queue;  ///< Waiting requests of a baseline gate.
  /// Stored answers by request ID; used by kUnboundedQueue only.
  std::map<std::string, CoapMessage> answers;
  /// IDs of received requests; used by kUnboundedQueue only.
  std::set<std::string> known_ids;
  /// Whether the target acknowledges a request first and then answers in a
  /// separate confirmable message.
  bool separate_answers = false;
  std::uint16_t next_message = 0;
  /// Message IDs of separate answers that the caller has not acknowledged.
  std::set<std::uint16_t> unacknowledged;
  TargetFault fault = TargetFault::kNone;
  bool is_routed = true;  ///< Whether callers use this target.
  /// Whether the target ignores cancellations and confirms none.
  bool ignores_cancel = false;
  /// Maximum number of requests that ran at once.
  std::size_t running_max = 0;
  /// Number of cancellations that stopped a request.
  std::uint64_t cancelled = 0;
  /// Number of cancellations that freed a slot at once.
  std::uint64_t slots_freed = 0;
  Duration service_time{std::chrono::milliseconds{50}};
  std::vector<Run>* runs = nullptr;
  /// Sends a datagram to the caller over the network.
  std::function<void(const FlowKey&, std::vector<std::uint8_t>)> send_to_caller;
  /// Forwards a caller's datagram to the agent of another target.
  std::function<void(TargetId, const FlowKey&, std::vector<std::uint8_t>)>
      forward_to_target;
};

/// Starts a host, or restarts the host with empty state.
/// @param target Host to start.
/// @param net Network on which the host schedules its events.
auto StartTargetHost(TargetHost& target, VirtualNetwork& net) -> void;

/// Delivers a caller's datagram to a host.
/// @param target Host that receives the datagram.
/// @param net Network on which the host schedules its events.
/// @param flow Flow of the datagram.
/// @param bytes Contents of the datagram.
auto DeliverDatagramToTarget(TargetHost& target,
                             VirtualNetwork& net,
                             const FlowKey& flow,
                             const std::vector<std::uint8_t>& bytes) -> void;

/// @param request Request to answer.
/// @return Complete body of the answer, unique to the request.
auto BuildAnswerBody(const CoapMessage& request) -> std::vector<std::uint8_t>;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_TARGET_H_
