#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/types.h"

/// @file
/// Small HTTP/1.1 server on the process's event loop, built on http_parser.
namespace hawthornbank::transport {

/// An HTTP request that the server received.
struct HttpServerRequest {
  std::string method;
  std::string target;
  std::string body;
  std::string accept;  ///< Media types that the client accepts; empty for any.
};

/// The response to a request.
struct HttpServerResponse {
  int status = 200;
  std::string type = "application/json";
  std::string body;
  std::string headers;  ///< Further header lines, each ending with CRLF.
};

/// Largest request body, in bytes. Heartbeats take a few hundred bytes.
inline constexpr std::size_t kMaxRequestBodyBytes = std::size_t{64} * 1024;

/// Maximum number of open connections; further connections are closed at once.
inline constexpr std::size_t kMaxConnections = 64;

/// Time after which a connection that sends no request is closed.
inline constexpr Duration kConnectionIdleTimeout = std::chrono::seconds{30};

/// Answers HTTP requests on one endpoint.
class HttpServer {
 public:
  using Handler =
      std::function<HttpServerResponse(const HttpServerRequest& call)>;

  /// @param io Runs the server's handlers.
  /// @param local Endpoint to listen on; port 0 lets the system choose.
  /// @param handler Returns the response to a request.
  /// @throws Error kInvalidSettings when the endpoint can't be listened on.
  HttpServer(asio::io_context& io, Endpoint local, Handler handler);

  /// @return The endpoint that the server listens on.
  [[nodiscard]] auto local_endpoint() const -> Endpoint;

 private:
  auto AcceptConnection() -> void;

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::shared_ptr<std::size_t> open_connections_ =
      std::make_shared<std::size_t>(0);
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_
