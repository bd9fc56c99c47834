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
/// The request gate behind CoAP (RFC 7252, 7641, 7959, 9175): datagrams in,
/// datagrams out, no I/O.
///
/// A request's identity is its Uri-Query `rid`, its time left `deadline_ms`;
/// `cancel=RID` cancels. POST is non-idempotent and runs only with an Echo
/// that this target issued for this identity. Towards the target the gate
/// uses tokens and message identities of its own, so that no answer can be
/// taken for another's.
namespace hawthornbank {

/// Limits and identity of a gate.
struct CoapGateOptions {
  RequestGateOptions gate;
  std::uint32_t max_connections = 2000;  ///< Flows held at once.
  /// Keys of Echo tokens; the first issues, all are accepted. At least one.
  std::vector<std::array<std::uint8_t, 32>> token_keys;
  /// Whether a request whose token names another target is handed on to the
  /// agent there, instead of being answered with "unknown".
  bool pass_to_other_targets = false;
  bool counts_double = false;  ///< Whether requests below the path count so.
  std::string double_path_prefix = "permit";
  std::chrono::milliseconds default_deadline{30000};
  std::chrono::milliseconds max_deadline{600000};
};

/// A datagram to send.
struct GateAction {
  enum class Kind : std::uint8_t {
    kToCaller,
    kToTarget,
    kToOtherTarget,  ///< As a caller's datagram to the gate of `target`.
  };
  Kind kind{};
  FlowKey flow;
  std::vector<std::uint8_t> bytes;
  TargetId target{};  ///< Of kToOtherTarget.
};

using GateActions = std::vector<GateAction>;

struct CoapGateState;

/// Owner of the state of one gate.
struct CoapGate {
  std::unique_ptr<CoapGateState> state;

  CoapGate();
  CoapGate(CoapGate&&) noexcept;
  auto operator=(CoapGate&&) noexcept -> CoapGate&;
  ~CoapGate();
};

/// One counter by its name in metrics.
struct CounterRow {
  std::string_view name;
  std::uint64_t value = 0;
};

/// @param options Limits and identity.
/// @return A gate that holds no flow.
/// @throws Error kInvalidSettings without a token key.
auto MakeCoapGate(const CoapGateOptions& options) -> CoapGate;

/// Takes in a caller's datagram. Call OnGateTick afterwards to learn when the
/// gate wants to be called next.
/// @param gate The gate.
/// @param flow The flow it came on.
/// @param bytes The datagram.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send.
auto OnCallerDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void;

/// Answers a datagram of kToOtherTarget that could not be handed on, because
/// the other target is not known any more.
/// @param gate The gate.
/// @param flow The flow it came on.
/// @param bytes The datagram.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send.
auto RefusePassed(CoapGate& gate,
                  const FlowKey& flow,
                  std::span<const std::uint8_t> bytes,
                  Random& random,
                  GateActions& out) -> void;

/// Takes in a datagram of the target, from the socket of a flow.
/// @param gate The gate.
/// @param flow The flow whose socket it came on.
/// @param bytes The datagram.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send.
auto OnTargetDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void;

/// Acts on everything that is due.
/// @param gate The gate.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send.
/// @return When to call again at the latest.
auto OnGateTick(CoapGate& gate, TimePoint now, Random& random, GateActions& out)
    -> TimePoint;

/// Forgets a flow that has ended; work that only it waits for is cancelled.
/// @param gate The gate.
/// @param flow The flow.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send; the flow's socket may be closed
///   once they are sent.
auto OnFlowClosed(CoapGate& gate,
                  const FlowKey& flow,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void;

/// Stops taking new requests; what was accepted runs to its end.
/// @param gate The gate.
auto BeginGateDrain(CoapGate& gate) -> void;

/// Takes new requests again.
/// @param gate The gate.
auto EndGateDrain(CoapGate& gate) -> void;

/// @param gate The gate.
/// @param now The present instant.
/// @return Whether a draining gate has nothing left to answer.
auto IsGateDrained(const CoapGate& gate, TimePoint now) -> bool;

/// Ends everything at once; each waiting caller is told what is known.
/// @param gate The gate.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the datagrams to send.
auto AbortGate(CoapGate& gate, TimePoint now, Random& random, GateActions& out)
    -> void;

/// @param gate The gate.
/// @param now The present instant.
/// @return What the gate holds.
auto GateLoad(const CoapGate& gate, TimePoint now) -> GateLoadReport;

/// @param gate The gate.
/// @return Every counter, in a fixed order.
auto GateCounters(const CoapGate& gate) -> std::vector<CounterRow>;

/// @param gate The gate.
/// @return The typed gate underneath, for its distributions.
auto InnerGate(const CoapGate& gate) -> const RequestGate&;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COAP_GATE_H_
