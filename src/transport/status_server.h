#ifndef HAWTHORNBANK_SRC_TRANSPORT_STATUS_SERVER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_STATUS_SERVER_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hawthornbank/types.h"

/// @file
/// HTTP endpoint of a daemon: status for hawthornctl, metrics for scraping.
namespace hawthornbank::transport {

/// Metric values of a daemon by name.
using Metrics = std::map<std::string, double>;

/// Converts metrics to whole numbers for a daemon's status.
/// @param metrics Metrics of the daemon.
/// @return The values truncated to whole numbers, by name.
auto ConvertMetricsToCounters(const Metrics& metrics)
    -> std::map<std::string, std::uint64_t>;

/// Sources of the served data; called on the daemon's io_context.
struct StatusSource {
  std::function<std::string()> status;  ///< JSON text.
  std::function<Metrics()> metrics;
};

/// Serves `GET /status`, `GET /metrics` and `PUT /log/{layer}/{level}`.
class StatusServer {
 public:
  /// Starts the endpoint on a separate thread.
  /// @param io Context on which the source is called.
  /// @param local Endpoint to listen on; with port 0 nothing is served.
  /// @param source Sources of the served data.
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
