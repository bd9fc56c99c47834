#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_FLOW_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_FLOW_H_

#include <coap3/coap.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// A caller's flow: one UDP socket with at most one outstanding CoAP request.
namespace hawthornbank::load {

/// A decoded CoAP response.
struct CoapResponse {
  std::uint8_t code_class = 0;
  std::uint8_t code_detail = 0;
  std::string payload;
  std::vector<std::uint8_t> echo;   ///< Echo option; empty when absent.
  std::chrono::seconds max_age{0};  ///< Max-Age option; 0 when absent.
};

/// Reason why a request ended without a response. kNoAnswer: all
/// retransmissions remained unacknowledged. kReset: a reset, or any other
/// failure of the session.
enum class FlowFailure : std::uint8_t { kNoAnswer, kReset };

/// A flow to a service. Its callbacks must not destroy the flow.
struct Flow {
  Flow() = default;
  Flow(const Flow&) = delete;
  auto operator=(const Flow&) -> Flow& = delete;
  ~Flow();

  coap_session_t* session = nullptr;
  /// Token of the latest request. Responses with another token are ignored;
  /// while the token is empty, failures are ignored too.
  std::vector<std::uint8_t> token;
  std::function<void(const CoapResponse&)> on_response;
  std::function<void(FlowFailure)> on_failure;
  std::uint32_t sent_requests = 0;  ///< Number of requests sent.
};

/// A CoAP request to send on a flow.
struct Message {
  coap_pdu_code_t method = COAP_REQUEST_CODE_GET;
  std::string path;
  std::vector<std::string> queries;
  std::vector<std::uint8_t> echo;
  bool observe = false;
  std::shared_ptr<const std::vector<std::uint8_t>> body;
};

using ClientContext =
    std::unique_ptr<coap_context_t, void (*)(coap_context_t*)>;

/// @return A libcoap client context that passes responses and failures to the
/// callbacks of their flows.
/// @throws Error kInternal when libcoap can't create the context.
auto MakeClientContext() -> ClientContext;

/// Opens a flow on a new local port.
/// @param context libcoap client context; must outlive the flow.
/// @param server Public address of a service.
/// @return The flow.
/// @throws Error kInternal when no socket can be opened.
auto OpenFlow(coap_context_t* context, Endpoint server)
    -> std::unique_ptr<Flow>;

/// @param flow An open flow.
/// @return Local address and port of the flow, which is the caller's endpoint.
auto GetLocalEndpoint(const Flow& flow) -> Endpoint;

/// Sends a request. After that, responses to earlier requests on the flow no
/// longer reach `on_response`.
/// @param flow The flow to send on.
/// @param message The request.
/// @throws Error kInternal when libcoap can't send the request.
auto SendCoapRequest(Flow& flow, const Message& message) -> void;

/// Cancels the observation of a resource at the server.
/// @param flow Flow whose latest request started the observation.
auto CancelObservation(Flow& flow) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_FLOW_H_
