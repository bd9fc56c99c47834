#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/types.h"

/// @file
/// Small HTTP/1.1 server on the daemon's own loop, over http_parser.
namespace hawthornbank::transport {

/// A call that came in.
struct HttpCall {
  std::string method;
  std::string target;
  std::string body;
};

/// The answer to a call.
struct HttpAnswer {
  int status = 200;
  std::string type = "application/json";
  std::string body;
};

/// Largest body of a call, in bytes. Heartbeats take a few hundred.
inline constexpr std::size_t kMaxCallBytes = std::size_t{64} * 1024;

/// Connections at a time; further ones are closed at once.
inline constexpr std::size_t kMaxConnections = 64;

/// Time after which a connection without a call is closed.
inline constexpr Duration kConnectionIdle = std::chrono::seconds{30};

/// Answers calls on one endpoint.
class HttpServer {
 public:
  using Handler = std::function<HttpAnswer(const HttpCall& call)>;

  /// @param io Where it runs.
  /// @param local Where it listens; port 0 lets the system choose.
  /// @param handler Answers a call.
  /// @throws Error kInvalidSettings when it can't listen.
  HttpServer(asio::io_context& io, Endpoint local, Handler handler);

  /// @return Where it listens.
  [[nodiscard]] auto local() const -> Endpoint;

 private:
  auto Accept() -> void;

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_SERVER_H_
