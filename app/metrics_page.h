#pragma once

#include <string>

#include "pomelomill/base/time.h"
#include "pomelomill/entry/entry_node.h"
#include "pomelomill/metrics/metric_registry.h"
#include "pomelomill/store/call_counter.h"
#include "pomelomill/traffic/traffic_server.h"

namespace pomelomill {

/// Text of `GET /-/metrics` in the text exposition format, version 0.0.4.
/// `requests` are the metrics of the traffic server.
std::string MetricsText(const EntryNode& node, const TrafficStatus& traffic,
                        const MetricRegistry& requests,
                        const CallCounter& store_calls, Instant now);

}  // namespace pomelomill
