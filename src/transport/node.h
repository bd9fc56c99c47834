#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_H_

#include "transport/node_binding.h"

/// @file
/// Entry points of the two roles of a node, balancer and agent. Nodes run on
/// the platform whose targets return packets of flows that they don't hold.
namespace hawthornbank::transport {

/// Runs a balancer until SIGTERM stops it.
/// @param settings Settings of the node.
/// @param codec Encoders and decoders for the platform.
/// @return The exit code.
auto RunBalancerNode(const NodeSettings& settings, const NodeCodec& codec)
    -> int;

/// Runs an agent until SIGTERM stops it.
/// @param settings Settings of the node.
/// @param codec Encoders and decoders for the platform.
/// @return The exit code.
auto RunAgentNode(const NodeSettings& settings, const NodeCodec& codec) -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
