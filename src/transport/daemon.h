#ifndef HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_
#define HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_

#include "transport/settings.h"

/// @file
/// Entry points of the daemon's two roles, balancer and agent. Each runs until
/// a signal or the configuration stops it.
namespace hawthornbank::transport {

/// Exit code after a graceful stop.
inline constexpr int kGracefulExitCode = 0;
/// Exit code when a second signal ended the process at once.
inline constexpr int kForcedExitCode = 9;

/// Runs an entry host's balancer until SIGTERM or SIGINT, or until a
/// configuration lists the balancer as stopping.
/// @param settings Settings of the balancer.
/// @return The exit code.
/// @throws Error kInvalidSettings when a port can't be bound.
auto RunBalancer(const Settings& settings) -> int;

/// Runs the agent beside a target until SIGTERM or SIGINT, or until the agent
/// is superseded.
/// @param settings Settings of the agent.
/// @return The exit code.
/// @throws Error kInvalidSettings when a port can't be bound.
auto RunAgent(const Settings& settings) -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_
