#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_H_

#include <optional>

#include "transport/node_binding.h"

/// @file
/// Entry points of the two roles of a node, balancer and agent. Nodes run on
/// the platform whose targets return packets of flows that they don't hold.
namespace hawthornbank::transport {

/// How a role of a node ended.
struct NodeExit {
  int code = 0;  ///< The exit code.
  /// Settings to go on with, when they have made this another node.
  std::optional<NodeSettings> changed;
};

/// Tells whether a running node can adopt other settings. It can't when its
/// role, name, zone, addresses or, for an agent, service are others.
/// @param a Settings of a node.
/// @param b Other settings.
/// @return Whether these are the same in both.
auto HasSameIdentity(const NodeSettings& a, const NodeSettings& b) -> bool;

/// Keeps SIGTERM and SIGHUP from ending a process that is starting: they wait
/// until RunNode() handles them. To be called before the settings are read.
auto HoldSignals() -> void;

/// Runs a node until SIGTERM stops it. When its settings make it another node,
/// the present role ends and a new one starts with nothing of its state. While
/// another process uses an address of the node, tries again, at the start of
/// the process for up to the grace period.
/// @param settings Settings of the node.
/// @param codec Encoders and decoders for the platform.
/// @return The exit code.
/// @throws BindError when an address can't be bound in this time.
auto RunNode(NodeSettings settings, const NodeCodec& codec) -> int;

/// Runs a balancer until SIGTERM stops it or its settings make it another node.
/// @param settings Settings of the node.
/// @param codec Encoders and decoders for the platform.
/// @return How it ended.
auto RunBalancerNode(const NodeSettings& settings, const NodeCodec& codec)
    -> NodeExit;

/// Runs an agent until SIGTERM stops it or its settings make it another node.
/// @param settings Settings of the node.
/// @param codec Encoders and decoders for the platform.
/// @return How it ended.
auto RunAgentNode(const NodeSettings& settings, const NodeCodec& codec)
    -> NodeExit;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
