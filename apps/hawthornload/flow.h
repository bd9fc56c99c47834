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
/// A caller's flow: one UDP socket with one request under way at a time.
namespace hawthornbank::load {

/// A response, decoded.
struct Reply {
  std::uint8_t code_class = 0;
  std::uint8_t code_detail = 0;
  std::string payload;
  std::vector<std::uint8_t> echo;  ///< Empty when absent.
  std::chrono::seconds max_age{0};
};

/// Why a request ended without a response.
enum class FlowFailure : std::uint8_t { kNoAnswer, kReset };

/// A flow towards a service. Its callbacks may not destroy it.
struct Flow {
  Flow() = default;
  Flow(const Flow&) = delete;
  auto operator=(const Flow&) -> Flow& = delete;
  ~Flow();

  coap_session_t* session = nullptr;
  std::vector<std::uint8_t> token;  ///< Of the request under way, or empty.
  std::function<void(const Reply&)> on_reply;
  std::function<void(FlowFailure)> on_failure;
  std::uint32_t requests = 0;
};

/// What to send on a flow.
struct Message {
  coap_pdu_code_t method = COAP_REQUEST_CODE_GET;
  std::string path;
  std::vector<std::string> queries;
  std::vector<std::uint8_t> echo;
  bool observe = false;
  std::shared_ptr<const std::vector<std::uint8_t>> body;
};

using Context = std::unique_ptr<coap_context_t, void (*)(coap_context_t*)>;

/// @return A client context whose responses reach their flows.
/// @throws Error kInternal when the library can't make one.
auto MakeContext() -> Context;

/// Opens a flow from a port of its own.
/// @param context Client context; outlives the flow.
/// @param server Public address of a service.
/// @return The flow.
/// @throws Error kInternal when no socket can be had.
auto OpenFlow(coap_context_t* context, Endpoint server)
    -> std::unique_ptr<Flow>;

/// @param flow An open flow.
/// @return The caller's address and port.
auto LocalEndpoint(const Flow& flow) -> Endpoint;

/// Sends a request; earlier ones of the flow no longer get their callbacks.
/// @param flow Where to send it.
/// @param message The request.
/// @throws Error kInternal when the library refuses it.
auto Send(Flow& flow, const Message& message) -> void;

/// Tells the server that a watched resource is no longer watched.
/// @param flow Flow with an observed resource.
auto CancelObserve(Flow& flow) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_FLOW_H_
