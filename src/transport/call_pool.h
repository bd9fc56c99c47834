#ifndef HAWTHORNBANK_SRC_TRANSPORT_CALL_POOL_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CALL_POOL_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "hawthornbank/pending_calls.h"
#include "transport/http_client.h"

/// @file
/// Makes the HTTP calls of a PendingCalls, each over a connection of its own;
/// connections are used again when their call is answered.
namespace hawthornbank::transport {

/// Limit of the duration of a call, whatever it makes of its time; longer than
/// any limit of a PendingCalls.
inline constexpr Duration kMaxCallDuration = std::chrono::seconds{60};

/// Makes calls that are pending side by side.
class CallPool {
 public:
  /// @param io Runs the handlers.
  /// @param calls The calls to make; must outlive this object.
  CallPool(asio::io_context& io, PendingCalls& calls);

  /// Makes a call that StartPendingCall() has recorded.
  /// @param id The call.
  /// @param server Endpoint of the server.
  /// @param request The request; must be idempotent.
  /// @param handler Called once, unless the call is cancelled. The call is
  ///   still pending then.
  auto SendRequest(CallId id,
                   Endpoint server,
                   const HttpRequest& request,
                   HttpClient::Handler handler) -> void;

  /// Records how much of the responses has arrived.
  /// @param now Current time.
  auto RecordProgress(TimePoint now) -> void;

  /// Cancels the calls that are to be cancelled, and closes idle connections
  /// when a call has become late, because they may have gone silent with it.
  /// @param changes Result of MarkLateCalls().
  auto ApplyLateCalls(const LateCalls& changes) -> void;

 private:
  struct Connection {
    CallId id = 0;  // The call in flight, or the last one.
    std::unique_ptr<HttpClient> client;
  };

  // Closes idle connections to other servers.
  auto FindIdleConnection(Endpoint server) -> Connection&;
  auto CloseIdleConnections() -> void;

  asio::io_context& io_;
  PendingCalls& calls_;
  std::vector<Connection> connections_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CALL_POOL_H_
