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
/// HTTP/1.1 client on the daemon's own loop, over http_parser. One call at a
/// time, each with a deadline; nothing waits for it.
namespace hawthornbank::transport {

/// What to ask.
struct HttpRequest {
  std::string method = "GET";
  std::string target;  ///< Path and query.
  std::string body;    ///< JSON text, or empty.
};

/// The answer to a call.
struct HttpReply {
  int status = 0;  ///< 0: there was no answer.
  std::string body;
  std::string failure;  ///< Why there was none.
};

/// Largest answer, in bytes: a value of the platform and its envelope.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{4} * 1024 * 1024;

/// Makes calls to one server over one connection.
class HttpClient {
 public:
  using Handler = std::function<void(const HttpReply& reply)>;

  /// @param io Where it runs.
  /// @param server Whom it calls.
  HttpClient(asio::io_context& io, Endpoint server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Makes a call that may run twice; the one under way, if any, is given up.
  /// @param request What to ask.
  /// @param deadline Longest time for the whole call.
  /// @param handler Called once, never from within Send.
  auto Send(const HttpRequest& request, Duration deadline, Handler handler)
      -> void;

  /// Gives the call under way up; its handler isn't called.
  auto Cancel() -> void;

  /// @return Whether a call is under way.
  [[nodiscard]] auto busy() const -> bool;

  /// @return Whom it calls.
  [[nodiscard]] auto server() const -> Endpoint { return server_; }

 private:
  struct Call;
  auto Start(const std::shared_ptr<Call>& call) -> void;
  auto Connect(const std::shared_ptr<Call>& call) -> void;
  auto Write(const std::shared_ptr<Call>& call) -> void;
  auto Receive(const std::shared_ptr<Call>& call) -> void;
  auto Fail(const std::shared_ptr<Call>& call, const std::string& reason)
      -> void;
  auto Finish(const std::shared_ptr<Call>& call) -> void;
  auto CloseSocket() -> void;

  Endpoint server_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer deadline_;
  std::shared_ptr<Call> call_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_CLIENT_H_
