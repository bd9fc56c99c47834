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
/// The Uri-Query parameter `rid` is the request's identity, `deadline_ms` the
/// time left until its deadline; `cancel=RID` cancels the request RID. POST is
/// non-idempotent and runs only with an Echo that this target issued for the
/// same identity. The gate sends requests to the target under its own tokens
/// and message IDs, so that an answer can't be matched to another request.
namespace hawthornbank {

/// Limits and identity of a CoAP gate.
struct CoapGateOptions {
  RequestGateOptions gate;
  std::uint32_t max_connections = 2000;  ///< Maximum number of flows.
  /// Keys of Echo tokens, at least one. The first signs new tokens; a token
  /// signed with any of them is accepted.
  std::vector<std::array<std::uint8_t, 32>> token_keys;
  /// Whether a request whose token was issued by another target is forwarded
  /// to that target's agent instead of being answered with outcome unknown.
  bool forwards_to_other_targets = false;
  /// Whether requests whose first path segment starts with
  /// `double_weight_path_prefix` have double weight: two start per ordinary
  /// one.
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
    kToOtherTarget,  ///< A caller's datagram, for the gate of `target`.
  };
  Kind kind{};
  FlowKey flow;
  std::vector<std::uint8_t> bytes;
  TargetId target{};  ///< Set for kToOtherTarget.
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

/// Value of one counter, with its name in metrics.
struct GateCounterRow {
  std::string_view name;
  std::uint64_t value = 0;
};

/// @param options Limits and identity.
/// @return A gate that holds no flow.
/// @throws Error kInvalidSettings without a token key.
auto MakeCoapGate(const CoapGateOptions& options) -> CoapGate;

/// Handles a caller's datagram. Call OnCoapGateTick afterwards to learn when
/// the gate has to be called next.
/// @param gate The gate.
/// @param flow The flow on which the datagram arrived.
/// @param bytes The datagram.
/// @param now Current time.
/// @param random Random number generator.
/// @param out Actions are appended to it.
auto OnCallerDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void;

/// Answers the caller of a kToOtherTarget datagram that can't be forwarded
/// because the other target is no longer known: outcome unknown.
/// @param gate The gate.
/// @param flow The flow on which the datagram arrived.
/// @param bytes The datagram.
/// @param random Random number generator.
/// @param out Actions are appended to it.
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
/// @param out Actions are appended to it.
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
/// @param out Actions are appended to it.
/// @return Latest time at which OnCoapGateTick has to be called again.
auto OnCoapGateTick(CoapGate& gate,
                    TimePoint now,
                    Random& random,
                    GateActions& out) -> TimePoint;

/// Removes a flow that has ended and cancels the requests that only this flow
/// waits for.
/// @param gate The gate.
/// @param flow The flow.
/// @param now Current time.
/// @param random Random number generator.
/// @param out Actions are appended to it; the flow's socket may be closed once
///   their datagrams are sent.
auto OnFlowClosed(CoapGate& gate,
                  const FlowKey& flow,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void;

/// Refuses new requests, except continuations, until EndGateDrain(); accepted
/// requests are completed.
/// @param gate The gate.
auto BeginGateDrain(CoapGate& gate) -> void;

/// Accepts new requests again.
/// @param gate The gate.
auto EndGateDrain(CoapGate& gate) -> void;

/// @param gate The gate.
/// @param now Current time.
/// @return Whether the gate is draining and has no request left to answer.
auto IsGateDrained(const CoapGate& gate, TimePoint now) -> bool;

/// Begins a drain and ends every request at once: callers of running requests
/// get kOutcomeUnknown, callers of queued requests kDraining.
/// @param gate The gate.
/// @param now Current time.
/// @param random Random number generator.
/// @param out Actions are appended to it.
auto EndAllGateRequests(CoapGate& gate,
                        TimePoint now,
                        Random& random,
                        GateActions& out) -> void;

/// @param gate The gate.
/// @param now Current time.
/// @return Slots, queued requests and flows in use.
auto ComputeCoapGateLoad(const CoapGate& gate, TimePoint now) -> GateLoadReport;

/// @param gate The gate.
/// @return Every counter, in the order of GateCounter.
auto ListGateCounters(const CoapGate& gate) -> std::vector<GateCounterRow>;

/// @param gate The gate.
/// @return The request gate that this gate wraps, for its latency summaries.
auto GetRequestGate(const CoapGate& gate) -> const RequestGate&;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COAP_GATE_H_
