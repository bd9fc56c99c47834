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
/// A target with its agent in virtual time, behind the production gate or a
/// baseline.
namespace hawthornbank::bench {

/// Gate between the callers and the target.
enum class GateKind : std::uint8_t {
  kReal,            ///< The project's gate.
  kNone,            ///< Callers reach the target directly.
  kUnboundedQueue,  ///< Runs repeated requests once; refuses none.
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
  std::uint64_t run_number = 0;  ///< Incremented by each start.
  std::map<std::uint64_t, Work> running;
  std::uint64_t next_work = 0;
  std::deque<Work> queue;  ///< Waiting requests of a baseline gate.
  /// Answers by request ID, in kUnboundedQueue.
  std::map<std::string, CoapMessage> answers;
  std::set<std::string> known_ids;  ///< Request IDs seen, in kUnboundedQueue.
  /// Answers are confirmable messages after an acknowledgement.
  bool separate_answers = false;
  std::uint16_t next_message = 0;
  std::set<std::uint16_t> unacknowledged;  ///< Message IDs of separate answers.
  TargetFault fault = TargetFault::kNone;
  bool is_routed = true;  ///< Whether callers use this target.
  /// Whether the target neither performs nor confirms cancellations.
  bool ignores_cancel = false;
  std::size_t running_max = 0;  ///< Maximum number that ran at once.
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

/// Starts the host, or restarts it with empty state.
/// @param target The host.
/// @param net The network.
auto StartTargetHost(TargetHost& target, VirtualNetwork& net) -> void;

/// Delivers a caller's datagram to the host.
/// @param target The host.
/// @param net The network.
/// @param flow Flow of the datagram.
/// @param bytes The datagram.
auto DeliverDatagramToTarget(TargetHost& target,
                             VirtualNetwork& net,
                             const FlowKey& flow,
                             const std::vector<std::uint8_t>& bytes) -> void;

/// @param request Request to answer.
/// @return Complete body of the answer, unique to the request.
auto BuildAnswerBody(const CoapMessage& request) -> std::vector<std::uint8_t>;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_TARGET_H_
