#include "flow.h"

#include <arpa/inet.h>

#include <array>

#include "hawthornbank/error.h"

namespace hawthornbank::load {
namespace {

// Half of RFC 7252's default of 2 s, so that packets lost in a balancer crash
// are retransmitted well within a request's deadline. libcoap's minimum is 1 s.
constexpr coap_fixed_point_t kAckTimeout = {.integer_part = 1,
                                            .fractional_part = 0};
constexpr std::uint16_t kMaxRetransmit = 4;

auto ReadCoapOptionValue(const coap_pdu_t* pdu, coap_option_num_t number)
    -> std::vector<std::uint8_t> {
  coap_opt_iterator_t it;
  const auto* const option = coap_check_option(pdu, number, &it);
  if (option == nullptr) {
    return {};
  }
  const auto* const value = coap_opt_value(option);
  return {value, value + coap_opt_length(option)};
}

auto DecodeCoapResponse(const coap_pdu_t* received) -> CoapResponse {
  const auto code = static_cast<unsigned>(coap_pdu_get_code(received));
  const auto max_age = ReadCoapOptionValue(received, COAP_OPTION_MAXAGE);
  CoapResponse response{.code_class = static_cast<std::uint8_t>(code >> 5U),
                        .code_detail = static_cast<std::uint8_t>(code & 0x1FU),
                        .echo = ReadCoapOptionValue(received, COAP_OPTION_ECHO),
                        .max_age = std::chrono::seconds(coap_decode_var_bytes8(
                            max_age.data(), max_age.size()))};
  std::size_t length = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(received, &length, &data) != 0) {
    response.payload.assign(data, data + length);
  }
  return response;
}

auto OnCoapResponse(coap_session_t* session,
                    const coap_pdu_t* /*sent*/,
                    const coap_pdu_t* received,
                    coap_mid_t /*mid*/) -> coap_response_t {
  auto* const flow = static_cast<Flow*>(coap_session_get_app_data(session));
  const auto token = coap_pdu_get_token(received);
  const std::vector<std::uint8_t> bytes(token.s, token.s + token.length);
  if (flow != nullptr && bytes == flow->token && flow->on_response) {
    flow->on_response(DecodeCoapResponse(received));
  }
  return COAP_RESPONSE_OK;
}

auto OnCoapRequestFailure(coap_session_t* session,
                          const coap_pdu_t* /*sent*/,
                          coap_nack_reason_t reason,
                          coap_mid_t /*mid*/) -> void {
  auto* const flow = static_cast<Flow*>(coap_session_get_app_data(session));
  if (flow != nullptr && !flow->token.empty() && flow->on_failure) {
    flow->on_failure(reason == COAP_NACK_TOO_MANY_RETRIES
                         ? FlowFailure::kNoAnswer
                         : FlowFailure::kReset);
  }
}

auto AddOptionToList(coap_optlist_t** options,
                     std::uint16_t number,
                     std::size_t length,
                     const void* value) -> void {
  coap_insert_optlist(
      options, coap_new_optlist(number, length,
                                static_cast<const std::uint8_t*>(value)));
}

auto AddRequestOptions(coap_pdu_t* pdu, const Message& message) -> void {
  coap_optlist_t* options = nullptr;
  AddOptionToList(&options, COAP_OPTION_URI_PATH, message.path.size(),
                  message.path.data());
  for (const auto& it : message.queries) {
    AddOptionToList(&options, COAP_OPTION_URI_QUERY, it.size(), it.data());
  }
  if (message.observe) {
    AddOptionToList(&options, COAP_OPTION_OBSERVE, 0, nullptr);
  }
  if (!message.echo.empty()) {
    AddOptionToList(&options, COAP_OPTION_ECHO, message.echo.size(),
                    message.echo.data());
  }
  coap_add_optlist_pdu(pdu, &options);
  coap_delete_optlist(options);
}

using Body = std::shared_ptr<const std::vector<std::uint8_t>>;

auto ReleaseRequestBody(coap_session_t* /*session*/, void* body) -> void {
  delete static_cast<Body*>(body);
}

}  // namespace

Flow::~Flow() {
  coap_session_set_app_data(session, nullptr);
  coap_session_release(session);
}

auto MakeClientContext() -> ClientContext {
  coap_startup();
  ClientContext context(coap_new_context(nullptr), coap_free_context);
  if (!context) {
    throw Error(ErrorKind::kInternal, "can't create a libcoap client context");
  }
  coap_context_set_block_mode(context.get(),
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  coap_register_response_handler(context.get(), OnCoapResponse);
  coap_register_nack_handler(context.get(), OnCoapRequestFailure);
  return context;
}

auto OpenFlow(coap_context_t* context, Endpoint server)
    -> std::unique_ptr<Flow> {
  coap_address_t address;
  coap_address_init(&address);
  address.size = sizeof(address.addr.sin);
  address.addr.sin.sin_family = AF_INET;
  address.addr.sin.sin_addr.s_addr = htonl(server.address);
  address.addr.sin.sin_port = htons(server.port);
  auto* const session =
      coap_new_client_session(context, nullptr, &address, COAP_PROTO_UDP);
  if (session == nullptr) {
    throw Error(ErrorKind::kInternal,
                "can't open a UDP socket to " + ToString(server));
  }
  coap_session_set_ack_timeout(session, kAckTimeout);
  coap_session_set_max_retransmit(session, kMaxRetransmit);
  auto flow = std::make_unique<Flow>();
  flow->session = session;
  coap_session_set_app_data(session, flow.get());
  return flow;
}

auto GetLocalEndpoint(const Flow& flow) -> Endpoint {
  const auto* const local = coap_session_get_addr_local(flow.session);
  return {.address = ntohl(local->addr.sin.sin_addr.s_addr),
          .port = ntohs(local->addr.sin.sin_port)};
}

auto SendCoapRequest(Flow& flow, const Message& message) -> void {
  constexpr std::size_t kMaxTokenBytes = 8;
  auto* const pdu =
      coap_new_pdu(COAP_MESSAGE_CON, message.method, flow.session);
  if (pdu == nullptr) {
    throw Error(ErrorKind::kInternal,
                "can't create a CoAP request: libcoap returned no message");
  }
  std::array<std::uint8_t, kMaxTokenBytes> token{};
  std::size_t length = token.size();
  coap_session_new_token(flow.session, &length, token.data());
  flow.token.assign(token.data(), token.data() + length);
  ++flow.sent_requests;
  coap_add_token(pdu, length, token.data());
  AddRequestOptions(pdu, message);
  if (message.body) {
    coap_add_data_large_request(flow.session, pdu, message.body->size(),
                                message.body->data(), ReleaseRequestBody,
                                new Body(message.body));
  }
  if (coap_send(flow.session, pdu) == COAP_INVALID_MID) {
    throw Error(ErrorKind::kInternal,
                "can't send a CoAP request: libcoap returned no message ID");
  }
}

auto CancelObservation(Flow& flow) -> void {
  coap_binary_t token{.length = flow.token.size(), .s = flow.token.data()};
  coap_cancel_observe(flow.session, &token, COAP_MESSAGE_NON);
}

}  // namespace hawthornbank::load
