#ifndef HAWTHORNBANK_TRANSPORT_NODE_WARMUP_METRICS_H_
#define HAWTHORNBANK_TRANSPORT_NODE_WARMUP_METRICS_H_

#include <string>

#include "hawthornbank/warmup_limit.h"

/// @file
/// Metrics of the limit for a cold target.
namespace hawthornbank::transport {

/// Formats the limit in force and the share of it that is in use; both are 0
/// while no limit is in force.
/// @param warmup State of the limit.
/// @param now Current time.
/// @return Lines in the text format of Prometheus.
auto FormatWarmupMetrics(const WarmupLimit& warmup, TimePoint now)
    -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_TRANSPORT_NODE_WARMUP_METRICS_H_
