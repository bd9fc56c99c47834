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
/// State of a CoAP gate and the functions shared by its entry points.
namespace hawthornbank {

using CoapToken = std::vector<std::uint8_t>;

/// One request message of a caller and the state of its answer.
struct Exchange {
  WaiterId waiter{};
  CoapMessage request;  ///< Options and payload cleared once answered.
  TimePoint arrival_time{};
  bool is_waiting = true;        ///< The caller waits for an answer.
  bool is_acknowledged = false;  ///< An empty ACK was sent to the caller.
  /// The gate asked the target to cancel the request, which isn't answered yet.
  bool is_cancelled = false;
  /// Handle of the request that this message started, if it started one.
  std::optional<RequestHandle> handle;
  CoapToken target_token;               ///< Token of the message to the target.
  std::uint16_t target_message_id = 0;  ///< ID of the message to the target.
  /// Final reply to the caller, sent again for each duplicate request message.
  std::vector<std::uint8_t> reply;
  /// Message ID of the target's separate confirmable response.
  std::optional<std::uint16_t> separate_response_id;
};

/// A cancellation that the target hasn't answered yet.
struct PendingCancellation {
  CoapToken target_token;
  RequestHandle handle{};
};

/// Tokens of an observation (RFC 7641) at the target and at the caller.
struct Observation {
  CoapToken target_token;
  CoapToken caller_token;
};

/// Exchanges and observations on one flow of a caller.
struct CallerFlow {
  std::list<Exchange> exchanges;  ///< Oldest first.
  std::vector<Observation> observations;
  std::deque<PendingCancellation> pending_cancellations;  ///< Oldest first.
  std::uint16_t next_target_message_id = 0;
};

/// Flow and waiter of the message that started a request.
struct RequestOrigin {
  FlowKey flow;
  WaiterId waiter{};
};

/// State of one CoAP gate.
struct CoapGateState {
  CoapGateOptions options;
  RequestGate request_gate;
  std::unordered_map<FlowKey, CallerFlow> flows;
  std::unordered_map<WaiterId, FlowKey> flows_by_waiter;
  std::map<RequestHandle, RequestOrigin> origins_by_request;
  std::uint64_t next_waiter_id = 1;
  std::uint64_t next_target_token_number = 1;
};

namespace detail {

/// Appends an action that sends a message to a caller.
auto AppendMessageToCaller(const FlowKey& flow,
                           const CoapMessage& message,
                           GateActions& out) -> void;

/// Appends an action that sends a message to the target.
auto AppendMessageToTarget(const FlowKey& flow,
                           const CoapMessage& message,
                           GateActions& out) -> void;

/// @return An empty message (code 0.00) of the given type.
auto MakeEmptyMessage(CoapType type, std::uint16_t id) -> CoapMessage;

/// Makes the reply to a request message: piggybacked on the ACK of a
/// confirmable request that isn't acknowledged yet, otherwise non-confirmable.
auto MakeCallerReply(const CoapMessage& request,
                     bool is_acknowledged,
                     std::uint8_t code,
                     Random& random) -> CoapMessage;

/// Makes the reply for an error kind, with Max-Age if the error is retryable.
auto MakeErrorReply(const CoapMessage& request,
                    bool is_acknowledged,
                    ErrorKind error,
                    std::chrono::seconds retry_after,
                    Random& random) -> CoapMessage;

/// Converts a CoAP request message into the request gate's Request.
/// @throws Error kMalformed if `rid` is too long or `deadline_ms` isn't a
///   number.
auto ConvertToGateRequest(const CoapGateOptions& options,
                          const FlowKey& flow,
                          const CoapMessage& message,
                          WaiterId waiter,
                          TimePoint now) -> Request;

/// Converts the request gate's actions into datagrams to send, and updates the
/// exchanges of the callers.
auto ApplyRequestActions(CoapGateState& state,
                         const RequestActions& actions,
                         TimePoint now,
                         Random& random,
                         GateActions& out) -> void;

/// Calls a function of the request gate and applies the resulting actions.
/// @param step Calls the function and appends the resulting actions to the list
///   that is passed as argument.
template <typename Step>
auto CallRequestGateAndApplyActions(CoapGateState& state,
                                    TimePoint now,
                                    Random& random,
                                    GateActions& out,
                                    Step step) -> void {
  RequestActions actions;
  step(actions);
  ApplyRequestActions(state, actions, now, random, out);
}

/// @return The exchange of the given waiter, or null.
auto FindExchangeByWaiter(CallerFlow& flow, WaiterId waiter) -> Exchange*;

}  // namespace detail
}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_COAP_GATE_STATE_H_
