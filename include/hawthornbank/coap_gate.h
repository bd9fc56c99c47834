#ifndef HAWTHORNBANK_COAP_GATE_H_
#define HAWTHORNBANK_COAP_GATE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/random.h"
#include "hawthornbank/request_gate.h"
#include "hawthornbank/types.h"

/// @file
/// CoAP front end of the request gate (RFC 7252, 7641, 7959, 9175): turns each
/// received datagram into the datagrams to send, without I/O.
///
/// Uri-Query parameters: `rid` is the identity of the request, `deadline_ms` is
/// the time left until the request's deadline, and `cancel=RID` cancels the
/// request with the identity RID. A POST request is non-idempotent and runs
/// only with an Echo token that this target issued for the same identity. The
/// gate sends requests to the target with new CoAP tokens and message IDs, so
/// that no answer is matched to another request.
namespace hawthornbank {

/// Limits and identity of a CoAP gate.
struct CoapGateOptions {
  RequestGateOptions gate;
  std::uint32_t max_connections = 2000;  ///< Maximum number of flows.
  /// Keys of Echo tokens, at least one. The first key signs new tokens; a token
  /// signed with any of these keys is accepted.
  std::vector<std::array<std::uint8_t, 32>> token_keys;
  /// Whether a request whose token was issued by another target is forwarded
  /// to that target's agent instead of being answered with outcome unknown.
  bool forwards_to_other_targets = false;
  /// Whether requests whose first path segment starts with
  /// `double_weight_path_prefix` have double weight: two of these requests
  /// start for each ordinary request.
  bool has_double_weight = false;
  std::string double_weight_path_prefix = "permit";
  std::chrono::milliseconds default_deadline{30000};
  std::chrono::milliseconds max_deadline{600000};
};

/// A datagram to send.
struct GateAction {
  enum class Kind : std::uint8_t {
    kToCaller,
    kToTarget,
    kToOtherTarget,  ///< Send to the gate of `target`.
  };
  Kind kind{};
  FlowKey flow;
  std::vector<std::uint8_t> bytes;
  TargetId target{};  ///< Destination of kToOtherTarget.
};

using GateActions = std::vector<GateAction>;

struct CoapGateState;

/// Owner of the state of one CoAP gate.
struct CoapGate {
  std::unique_ptr<CoapGateState> state;

  CoapGate();
  CoapGate(CoapGate&&) noexcept;
  auto operator=(CoapGate&&) noexcept -> CoapGate&;
  ~CoapGate();
};

/// Value of one counter, with the counter's name in metrics.
struct GateCounterRow {
  std::string_view name;
  std::uint64_t value = 0;
};

/// @param options Limits and identity.
/// @return A gate that holds no flow.
/// @throws Error kInvalidSettings without a token key.
auto MakeCoapGate(const CoapGateOptions& options) -> CoapGate;

/// Handles a caller's datagram. Call OnCoapGateTick afterwards, because the
/// time of the next tick may have changed.
/// @param gate The gate.
/// @param flow The flow on which the datagram arrived.
/// @param bytes The datagram.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto OnCallerDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void;

/// Replies kOutcomeUnknown to the caller of a kToOtherTarget datagram that
/// can't be forwarded because the other target is no longer known.
/// @param gate The gate.
/// @param flow The flow on which the datagram arrived.
/// @param bytes The datagram.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto RefuseForwardedDatagram(CoapGate& gate,
                             const FlowKey& flow,
                             std::span<const std::uint8_t> bytes,
                             Random& random,
                             GateActions& out) -> void;

/// Handles a datagram that the target sent to the socket of a flow.
/// @param gate The gate.
/// @param flow The flow on whose socket the datagram arrived.
/// @param bytes The datagram.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto OnTargetDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void;

/// Handles expired deadlines, delayed retries and probes that are due.
/// @param gate The gate.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
/// @return Latest time at which OnCoapGateTick has to be called again.
auto OnCoapGateTick(CoapGate& gate,
                    TimePoint now,
                    Random& random,
                    GateActions& out) -> TimePoint;

/// Removes a flow that has ended and cancels the requests that only this flow
/// waits for. Requests that this flow started and that other flows wait for end
/// with kOutcomeUnknown.
/// @param gate The gate.
/// @param flow The flow.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to. The flow's socket may be closed
///   once the datagrams of these actions are sent.
auto OnFlowClosed(CoapGate& gate,
                  const FlowKey& flow,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void;

/// Refuses new requests, except continuations, until CancelGateDrain() is
/// called. Requests accepted before the drain are completed.
/// @param gate The gate.
auto BeginGateDrain(CoapGate& gate) -> void;

/// Cancels the drain: accepts new requests again.
/// @param gate The gate.
auto CancelGateDrain(CoapGate& gate) -> void;

/// @param gate The gate.
/// @param now Current time.
/// @return Whether the gate is draining and has no request left to answer.
auto IsGateDrained(const CoapGate& gate, TimePoint now) -> bool;

/// Begins a drain and ends every request at once. Callers of running requests
/// get kOutcomeUnknown, callers of all other requests get kDraining.
/// @param gate The gate.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto DrainAndEndCoapRequests(CoapGate& gate,
                             TimePoint now,
                             Random& random,
                             GateActions& out) -> void;

/// @param gate The gate.
/// @param now Current time.
/// @return Current load of the request gate, and the number of flows.
auto ComputeCoapGateLoad(const CoapGate& gate, TimePoint now) -> GateLoadReport;

/// @param gate The gate.
/// @return Every counter, in the order of GateCounter.
auto ListGateCounters(const CoapGate& gate) -> std::vector<GateCounterRow>;

/// @param gate The gate.
/// @return The request gate inside the CoAP gate, to read latency summaries.
auto GetRequestGate(const CoapGate& gate) -> const RequestGate&;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COAP_GATE_H_
