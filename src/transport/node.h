#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_H_

#include "transport/node_binding.h"

/// @file
/// The two roles of a node on a platform whose targets return packets.
namespace hawthornbank::transport {

/// Runs a balancer until it is told to stop.
/// @param settings Its settings.
/// @param codec Translations of its platform.
/// @return The exit code.
auto RunBalancerNode(const NodeSettings& settings, const NodeCodec& codec)
    -> int;

/// Runs an agent until it is told to stop.
/// @param settings Its settings.
/// @param codec Translations of its platform.
/// @return The exit code.
auto RunAgentNode(const NodeSettings& settings, const NodeCodec& codec) -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_H_
