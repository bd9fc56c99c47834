#ifndef HAWTHORNBANK_SRC_TRANSPORT_DAEMON_LOOP_H_
#define HAWTHORNBANK_SRC_TRANSPORT_DAEMON_LOOP_H_

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "hawthornbank/counters.h"
#include "transport/control_channel.h"
#include "transport/status_server.h"

/// @file
/// Ticks, signal handling and metrics that the daemon's balancer and agent
/// share.
namespace hawthornbank::transport {

/// Handlers through which a balancer or agent receives the events of a
/// DaemonLoop.
struct LoopHandlers {
  std::function<void()> on_tick;
  /// Called at the first SIGTERM or SIGINT.
  std::function<void(const std::string& reason)> on_stop;
  /// Called at the second SIGTERM or SIGINT.
  std::function<void()> on_forced_stop;
};

/// Runs the ticks and signal handlers of a daemon on the daemon's io_context.
class DaemonLoop {
 public:
  /// @param io Context on which the handlers run.
  /// @param handlers Handlers of the loop's events.
  DaemonLoop(asio::io_context& io, LoopHandlers handlers);

  /// Runs the io_context until StopDaemonLoop is called.
  /// @return The exit code.
  auto RunUntilStopped() -> int;

  /// Makes RunUntilStopped return.
  /// @param exit_code Exit code that RunUntilStopped returns.
  auto StopDaemonLoop(int exit_code) -> void;

 private:
  auto RunLoopTick() -> void;
  auto WaitForSignal() -> void;

  asio::io_context& io_;
  LoopHandlers handlers_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  bool stopping_ = false;
  int exit_code_ = 0;
};

/// Adds the data path's counters to the metrics of a balancer or agent.
/// @param counters Counters of the data path.
/// @param metrics Receives the counters by name.
auto AddCountersToMetrics(const Counters& counters, Metrics& metrics) -> void;

/// Adds the control channel's counts of bytes and of rejected datagrams to the
/// metrics of a balancer or agent.
/// @param counters Counters of the channel.
/// @param metrics Receives the counters by name.
auto AddCountersToMetrics(const ChannelCounters& counters, Metrics& metrics)
    -> void;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_DAEMON_LOOP_H_
