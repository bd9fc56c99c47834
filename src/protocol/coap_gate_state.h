#ifndef HAWTHORNBANK_PROTOCOL_COAP_GATE_STATE_H_
#define HAWTHORNBANK_PROTOCOL_COAP_GATE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hawthornbank/coap_gate.h"
#include "protocol/coap_codec.h"

/// @file
/// State of a CoAP gate and the steps shared by its entry points.
namespace hawthornbank {

using CoapToken = std::vector<std::uint8_t>;

/// One request message of a caller and what became of it.
struct Exchange {
  WaiterId waiter{};
  CoapMessage request;  ///< Options and payload are dropped at the end.
  TimePoint arrived{};
  bool waiting = true;        ///< No final answer has been sent.
  bool acknowledged = false;  ///< An empty ACK was passed to the caller.
  bool cancelled = false;     ///< The target was asked to stop its work.
  std::optional<RequestHandle> handle;  ///< Of the request it started.
  CoapToken target_token;               ///< Token used towards the target.
  std::uint16_t target_id = 0;      ///< Message identity towards the target.
  std::vector<std::uint8_t> reply;  ///< What the caller was sent.
  std::optional<std::uint16_t> separate_id;  ///< Of a confirmable answer.
};

/// A cancellation that the target has not confirmed.
struct Cancellation {
  CoapToken target_token;
  RequestHandle handle{};
};

/// A resource that a caller observes.
struct Observation {
  CoapToken target_token;
  CoapToken caller_token;
};

/// One flow of a caller.
struct Flow {
  std::list<Exchange> exchanges;  ///< Oldest first.
  std::vector<Observation> observations;
  std::deque<Cancellation> cancellations;  ///< Oldest first.
  std::uint16_t next_target_id = 0;
};

/// Where the message that started a request came from.
struct Starter {
  FlowKey flow;
  WaiterId waiter{};
};

/// Everything a CoAP gate knows.
struct CoapGateState {
  CoapGateOptions options;
  RequestGate gate;
  std::unordered_map<FlowKey, Flow> flows;
  std::unordered_map<WaiterId, FlowKey> waiters;
  std::map<RequestHandle, Starter> starters;
  std::uint64_t next_waiter = 1;
  std::uint64_t next_target_token = 1;
};

namespace detail {

/// Sends a message to a caller.
auto SendToCaller(const FlowKey& flow,
                  const CoapMessage& message,
                  GateActions& out) -> void;

/// Sends a message to the target.
auto SendToTarget(const FlowKey& flow,
                  const CoapMessage& message,
                  GateActions& out) -> void;

/// @return An empty message of a type.
auto MakeEmpty(CoapType type, std::uint16_t id) -> CoapMessage;

/// Makes the reply to a request message: piggybacked on the ACK if that is
/// possible, else non-confirmable.
auto MakeReply(const CoapMessage& request,
               bool acknowledged,
               std::uint8_t code,
               Random& random) -> CoapMessage;

/// Makes the answer for an error kind.
auto MakeErrorReply(const CoapMessage& request,
                    bool acknowledged,
                    ErrorKind error,
                    std::chrono::seconds retry_after,
                    Random& random) -> CoapMessage;

/// Builds the typed request of a message.
/// @throws Error kMalformed when a parameter is bad.
auto MakeRequest(const CoapGateOptions& options,
                 const FlowKey& flow,
                 const CoapMessage& message,
                 WaiterId waiter,
                 TimePoint now) -> Request;

/// Carries out what the typed gate wants done.
auto ApplyActions(CoapGateState& state,
                  const RequestActions& actions,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void;

/// Lets the typed gate take a step and carries out what it wants done.
/// @param step Called with the list that receives the gate's actions.
template <typename Step>
auto Perform(CoapGateState& state,
             TimePoint now,
             Random& random,
             GateActions& out,
             Step step) -> void {
  RequestActions actions;
  step(actions);
  ApplyActions(state, actions, now, random, out);
}

/// @return The exchange of a waiter, or null.
auto FindExchange(Flow& flow, WaiterId waiter) -> Exchange*;

}  // namespace detail
}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_COAP_GATE_STATE_H_
