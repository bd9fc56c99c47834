#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_CLIENT_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_CLIENT_H_

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/types.h"

/// @file
/// Asynchronous HTTP/1.1 client on the process's event loop, built on
/// http_parser. The client makes one call at a time. Each call has a deadline.
namespace hawthornbank::transport {

/// An HTTP request to send.
struct HttpRequest {
  std::string method = "GET";
  std::string target;  ///< Path and query.
  std::string body;    ///< JSON text, or empty.
  std::string accept;  ///< Media types to accept, or empty for any.
  /// Name of a header of the response to return, or empty.
  std::string wanted_header;
};

/// The response to a call, or the reason why there is no response.
struct HttpResponse {
  int status = 0;    ///< HTTP status; 0 when there was no response.
  std::string type;  ///< Media type of the body.
  /// Value of HttpRequest::wanted_header; empty without that header.
  std::string header;
  std::string body;
  std::string failure;  ///< Reason why there was no response.
  /// Bytes of the response that arrived, also when it is incomplete.
  std::size_t received_bytes = 0;
};

/// Largest response body, in bytes. Large enough for one stored value as JSON.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{4} * 1024 * 1024;

/// Makes calls to one server over one connection.
class HttpClient {
 public:
  using Handler = std::function<void(const HttpResponse& reply)>;

  /// @param io Runs the client's handlers.
  /// @param server Endpoint of the server.
  HttpClient(asio::io_context& io, Endpoint server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Cancels the call in flight, if any, and starts a call. The request must be
  /// idempotent, because the request is sent again when the server has closed
  /// an idle connection.
  /// @param request The request to send.
  /// @param deadline Maximum duration of the whole call.
  /// @param handler Called once, unless the call is cancelled, and never from
  /// within SendHttpRequest.
  auto SendHttpRequest(const HttpRequest& request,
                       Duration deadline,
                       Handler handler) -> void;

  /// Cancels the call in flight; its handler isn't called.
  auto CancelCallInFlight() -> void;

  /// @return Bytes of the response to the call in flight that have arrived; 0
  /// if no call is in flight.
  [[nodiscard]] auto received_bytes() const -> std::size_t;

  /// @return Whether a call is in flight.
  [[nodiscard]] auto HasCallInFlight() const -> bool;

  /// @return Endpoint of the server.
  [[nodiscard]] auto server_endpoint() const -> Endpoint { return server_; }

 private:
  struct Call;
  auto StartCall(const std::shared_ptr<Call>& call) -> void;
  auto ConnectToServer(const std::shared_ptr<Call>& call) -> void;
  auto WriteRequestToSocket(const std::shared_ptr<Call>& call) -> void;
  auto ReceiveReply(const std::shared_ptr<Call>& call) -> void;
  auto RetryOrFailCall(const std::shared_ptr<Call>& call,
                       const std::string& reason) -> void;
  auto FinishCall(const std::shared_ptr<Call>& call) -> void;
  auto CloseSocket() -> void;

  Endpoint server_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer deadline_timer_;
  std::shared_ptr<Call> call_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_CLIENT_H_
