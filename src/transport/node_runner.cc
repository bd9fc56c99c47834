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

// Signals that no role handles: those between two roles, while an address can't
// be bound, and those that a role has read when it ends.
class ProcessSignals {
 public:
  ProcessSignals() : signals_(io_, SIGTERM, SIGHUP) {
    WaitForSignal();
    SetSignalsHeld(SIG_UNBLOCK);
  }

  // Waits until SIGTERM comes, for at most a time. Returns whether it has come,
  // now or earlier.
  auto WaitForStop(Duration time) -> bool {
    const auto end = std::chrono::steady_clock::now() + time;
    io_.restart();
    do {
      io_.poll();
    } while (!is_stopped_ && io_.run_one_until(end) > 0);
    return is_stopped_;
  }

 private:
  auto WaitForSignal() -> void {
    signals_.async_wait([this](const asio::error_code& ec, int signal) {
      if (!ec) {
        is_stopped_ = is_stopped_ || signal == SIGTERM;
        WaitForSignal();
      }
    });
  }

  asio::io_context io_;
  asio::signal_set signals_;
  bool is_stopped_ = false;
};

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
                      ProcessSignals& signals,
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
  } while (!signals.WaitForStop(kBindRetryInterval));
  EventLog(STDOUT_FILENO, settings.name)
      .WriteEvent(EventKind::kProcess, GetMonotonicTime(), "stop cause=bind");
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
  ProcessSignals signals;
  for (bool has_changed = false;; has_changed = true) {
    NodeExit end = RunRoleWhenBound(settings, codec, signals, has_changed);
    if (!end.changed.has_value() || signals.WaitForStop(Duration::zero())) {
      return end.code;
    }
    settings = std::move(*end.changed);
  }
}

}  // namespace hawthornbank::transport
