#ifndef HAWTHORNBANK_SRC_TRANSPORT_STATUS_SERVER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_STATUS_SERVER_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hawthornbank/types.h"

/// @file
/// HTTP endpoint of a daemon: status for the tool, metrics for scraping.
namespace hawthornbank::transport {

/// Values of a daemon by metric name.
using Metrics = std::map<std::string, double>;

/// @param metrics Metrics of a daemon.
/// @return The same as whole numbers, for its status.
auto ToCounters(const Metrics& metrics) -> std::map<std::string, std::uint64_t>;

/// What the endpoint asks the daemon; called on the daemon's io_context.
struct StatusSource {
  std::function<std::string()> status;  ///< JSON text.
  std::function<Metrics()> metrics;
};

/// Serves `GET /status`, `GET /metrics` and `PUT /log/{layer}/{level}`.
class StatusServer {
 public:
  /// Starts the endpoint on a thread of its own.
  /// @param io Where the source is asked.
  /// @param local Where to listen; port 0 serves nothing.
  /// @param source What to serve.
  /// @throws Error kInvalidSettings when the endpoint can't be bound.
  StatusServer(asio::io_context& io,
               Endpoint local,
               const StatusSource& source);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  auto operator=(const StatusServer&) -> StatusServer& = delete;

 private:
  struct Server;
  std::unique_ptr<Server> server_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_STATUS_SERVER_H_
