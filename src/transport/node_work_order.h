#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_WORK_ORDER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_WORK_ORDER_H_

#include <string>

#include "hawthornbank/work_order.h"

/// @file
/// Metrics and log text of the requests that wait at an agent.
namespace hawthornbank::transport {

/// @param order Requests of the agent's target.
/// @return Metrics in the text format of Prometheus.
auto FormatWorkOrderMetrics(const WorkOrder& order) -> std::string;

/// @param order Requests of the agent's target.
/// @param reason Why a request was handed over.
/// @param waited How long the request waited.
/// @return Fields of the log line.
auto FormatHandOver(const WorkOrder& order,
                    HandOverReason reason,
                    Duration waited) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_WORK_ORDER_H_
