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
/// What both roles of the daemon share: ticks, signals, metrics.
namespace hawthornbank::transport {

/// What a role does at each event of its loop.
struct LoopHandlers {
  std::function<void()> on_tick;
  std::function<void(const std::string& reason)> on_stop;  ///< First signal.
  std::function<void()> on_force;                          ///< Second one.
};

/// Ticks and signals of a daemon, on its io_context.
class DaemonLoop {
 public:
  /// @param io Where everything runs.
  /// @param handlers What to do.
  DaemonLoop(asio::io_context& io, LoopHandlers handlers);

  /// Runs until Exit is called.
  /// @return The exit code.
  auto Run() -> int;

  /// Ends Run.
  /// @param exit_code What Run returns.
  auto Exit(int exit_code) -> void;

 private:
  auto Tick() -> void;
  auto WaitForSignal() -> void;

  asio::io_context& io_;
  LoopHandlers handlers_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  bool stopping_ = false;
  int exit_code_ = 0;
};

/// Adds a role's counters to its metrics.
/// @param counters Counters of the data path.
/// @param metrics Receives them by name.
auto AddCounters(const Counters& counters, Metrics& metrics) -> void;

/// Adds what the control channel carried and refused.
/// @param counters The channel's counters.
/// @param metrics Receives them by name.
auto AddCounters(const ChannelCounters& counters, Metrics& metrics) -> void;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_DAEMON_LOOP_H_
