#pragma once

#include <string>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/entry/entry_node.h"
#include "pomelomill/traffic/traffic_server.h"

namespace pomelomill {

/// JSON of `GET /-/status`: the entry, the pools, open intents and waves of
/// its region, and the queues as this entry sees them.
std::string StatusJson(const EntryNode& node, const TrafficStatus& traffic);

/// JSON of `POST /-/drain` when the drain was accepted.
std::string DrainAcceptedJson(const EntryStatus& entry);

/// JSON of a 409 response: the error, and the entry that holds the control
/// lease with its admin address, as far as they are known.
std::string NotHolderJson(const EntryStatus& entry);

/// JSON of `GET /-/explain`: the decisions on one subject, oldest first.
std::string ExplainJson(const DecisionLog& log, const std::string& kind,
                        const std::string& name);

}  // namespace pomelomill
