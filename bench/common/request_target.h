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
/// A target with its agent in virtual time: the real gate, or a baseline.
namespace hawthornbank::bench {

/// What stands before the target.
enum class GateKind : std::uint8_t {
  kReal,            ///< The project's gate.
  kNone,            ///< Callers reach the target directly.
  kUnboundedQueue,  ///< Repeats are joined; nothing is ever refused.
};

/// What is wrong with a target, whatever its health endpoint says.
enum class Sickness : std::uint8_t {
  kNone,
  kFails,   ///< Each answer is an error.
  kStalls,  ///< Work that begins never ends.
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
  TimePoint wake = TimePoint::max();  ///< Planned call of OnGateTick.
  std::uint64_t life = 0;             ///< Grows with each restart.
  std::map<std::uint64_t, Work> running;
  std::uint64_t next_work = 0;
  std::deque<Work> queue;                      ///< Of the baselines.
  std::map<std::string, CoapMessage> answers;  ///< kUnboundedQueue.
  std::set<std::string> known;                 ///< kUnboundedQueue.
  bool separate_answers = false;  ///< Confirmable, after an acknowledgement.
  std::uint16_t next_message = 0;
  std::set<std::uint16_t> unacknowledged;  ///< Separate answers.
  Sickness sickness = Sickness::kNone;
  bool routed = true;             ///< Whether callers still send to it.
  bool ignores_cancel = false;    ///< Runs on, and confirms nothing.
  std::size_t running_max = 0;    ///< Most requests that ran at once.
  std::uint64_t cancelled = 0;    ///< Cancellations that stopped work.
  std::uint64_t slots_freed = 0;  ///< Those that freed the slot at once.
  Duration service_time{std::chrono::milliseconds{50}};
  std::vector<Run>* runs = nullptr;
  /// Sends a datagram back over the network.
  std::function<void(const FlowKey&, std::vector<std::uint8_t>)> send;
  /// Passes a caller's datagram on to the agent of another target.
  std::function<void(TargetId, const FlowKey&, std::vector<std::uint8_t>)> pass;
};

/// Starts the host, or starts it again without memory.
/// @param target The host.
/// @param net The network.
auto StartTarget(TargetHost& target, VirtualNetwork& net) -> void;

/// Takes in a caller's datagram.
/// @param target The host.
/// @param net The network.
/// @param flow The flow it came on.
/// @param bytes The datagram.
auto DeliverToTarget(TargetHost& target,
                     VirtualNetwork& net,
                     const FlowKey& flow,
                     const std::vector<std::uint8_t>& bytes) -> void;

/// @param request A request.
/// @return The whole answer that belongs to it and to no other.
auto AnswerBody(const CoapMessage& request) -> std::vector<std::uint8_t>;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_TARGET_H_
