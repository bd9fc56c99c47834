#include <unistd.h>

#include <asio.hpp>
#include <csignal>
#include <tuple>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/bind_error.h"
#include "transport/clock.h"
#include "transport/event_log.h"
#include "transport/node.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr Duration kBindRetryInterval = std::chrono::milliseconds{100};
constexpr Duration kBindLogInterval = std::chrono::seconds{1};

auto SetSignalsHeld(int how) -> void {
  sigset_t signals{};
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGHUP);
  ::pthread_sigmask(how, &signals, nullptr);
}

// Returns whether the process goes on: false after SIGTERM.
auto WaitForNextBind() -> bool {
  asio::io_context io;
  asio::signal_set signals(io, SIGTERM);
  asio::steady_timer timer(io);
  bool is_stopped = false;
  signals.async_wait([&](const asio::error_code& ec, int) {
    if (!ec) {
      is_stopped = true;
      timer.cancel();
    }
  });
  NodeHost::ScheduleHandler(timer, kBindRetryInterval,
                            [&](TimePoint) { signals.cancel(); });
  io.run();
  return !is_stopped;
}

// Reads settings that may have changed while an address couldn't be bound.
auto ReadSettingsAgain(NodeSettings& settings,
                       const NodeCodec& codec,
                       EventLog& log) -> void {
  try {
    settings = codec.load_settings();
  } catch (const Error& error) {
    log.WriteEvent(EventKind::kMalformedInput, GetMonotonicTime(),
                   "reload_failed cause=bind error=\"{}\"", error.what());
  }
}

auto RunRole(const NodeSettings& settings, const NodeCodec& codec) -> NodeExit {
  return settings.role == HostRole::kBalancer ? RunBalancerNode(settings, codec)
                                              : RunAgentNode(settings, codec);
}

// Runs a role whose addresses another process may still use for a while. The
// process of a node whose settings have changed doesn't end for want of them.
auto RunRoleWhenBound(NodeSettings& settings,
                      const NodeCodec& codec,
                      bool has_changed) -> NodeExit {
  const TimePoint begin = GetMonotonicTime();
  TimePoint logged{};
  do {
    try {
      return RunRole(settings, codec);
    } catch (const BindError& error) {
      const TimePoint now = GetMonotonicTime();
      if (!has_changed && now - begin >= settings.grace_period) {
        throw;
      }
      EventLog log(STDOUT_FILENO, settings.name);
      if (now - logged >= kBindLogInterval) {
        logged = now;
        log.WriteEvent(EventKind::kProcess, now, "bind_failed error=\"{}\"",
                       error.what());
        ReadSettingsAgain(settings, codec, log);
      }
    }
  } while (WaitForNextBind());
  return {};
}

}  // namespace

auto HasSameIdentity(const NodeSettings& a, const NodeSettings& b) -> bool {
  const auto list_fields = [](const NodeSettings& it) {
    return std::tie(it.name, it.role, it.zone, it.control, it.data, it.outbound,
                    it.target, it.http);
  };
  return list_fields(a) == list_fields(b) &&
         (a.role != HostRole::kAgent || a.service == b.service);
}

auto HoldSignals() -> void {
  SetSignalsHeld(SIG_BLOCK);
}

auto RunNode(NodeSettings settings, const NodeCodec& codec) -> int {
  // Keeps a signal between two roles from ending the process; it is handled by
  // the next role.
  asio::io_context io;
  const asio::signal_set signals(io, SIGTERM, SIGHUP);
  SetSignalsHeld(SIG_UNBLOCK);
  for (bool has_changed = false;; has_changed = true) {
    NodeExit end = RunRoleWhenBound(settings, codec, has_changed);
    if (!end.changed.has_value()) {
      return end.code;
    }
    settings = std::move(*end.changed);
  }
}

}  // namespace hawthornbank::transport
