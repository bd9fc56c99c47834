#include "transport/daemon_loop.h"

#include <utility>

#include "transport/daemon.h"

namespace hawthornbank::transport {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};

}  // namespace

DaemonLoop::DaemonLoop(asio::io_context& io, LoopHandlers handlers)
    : io_(io),
      handlers_(std::move(handlers)),
      timer_(io),
      signals_(io, SIGTERM, SIGINT) {}

auto DaemonLoop::RunUntilStopped() -> int {
  WaitForSignal();
  RunLoopTick();
  io_.run();
  return exit_code_;
}

auto DaemonLoop::StopDaemonLoop(int exit_code) -> void {
  exit_code_ = exit_code;
  io_.stop();
}

auto DaemonLoop::RunLoopTick() -> void {
  handlers_.on_tick();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      RunLoopTick();
    }
  });
}

auto DaemonLoop::WaitForSignal() -> void {
  signals_.async_wait([this](const asio::error_code& ec, int) {
    if (ec) {
      return;
    }
    if (stopping_) {
      handlers_.on_forced_stop();
      StopDaemonLoop(kForcedExitCode);
      return;
    }
    stopping_ = true;
    handlers_.on_stop("signal");
    WaitForSignal();
  });
}

auto AddCountersToMetrics(const Counters& counters, Metrics& metrics) -> void {
  for (std::size_t n = 0; n < kCounterCount; ++n) {
    metrics[std::string(kCounterNames[n])] =
        static_cast<double>(ReadCounter(counters, static_cast<Counter>(n)));
  }
}

auto AddCountersToMetrics(const ChannelCounters& counters, Metrics& metrics)
    -> void {
  metrics["control_bytes_sent"] = static_cast<double>(counters.bytes_sent);
  metrics["control_bytes_received"] =
      static_cast<double>(counters.bytes_received);
  metrics["control_forged"] = static_cast<double>(counters.unauthenticated);
  metrics["control_malformed"] = static_cast<double>(counters.malformed);
}

}  // namespace hawthornbank::transport
