#ifndef HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_
#define HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_

#include "transport/settings.h"

/// @file
/// Entry points of the daemon's two roles, balancer and agent.
namespace hawthornbank::transport {

/// Exit code after a graceful stop.
inline constexpr int kGracefulExitCode = 0;
/// Exit code when a second signal during the stop ended the process at once.
inline constexpr int kForcedExitCode = 9;

/// Runs a balancer until SIGTERM or SIGINT stops the balancer, or until a
/// configuration lists the balancer as stopping.
/// @param settings Settings of the balancer.
/// @return The exit code.
/// @throws Error kInvalidSettings when a port can't be bound.
auto RunBalancer(const Settings& settings) -> int;

/// Runs the agent of a target until SIGTERM or SIGINT stops the agent, or until
/// an agent with a newer incarnation supersedes this agent.
/// @param settings Settings of the agent.
/// @return The exit code.
/// @throws Error kInvalidSettings when a port can't be bound.
auto RunAgent(const Settings& settings) -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_DAEMON_H_
