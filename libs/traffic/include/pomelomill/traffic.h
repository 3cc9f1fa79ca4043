#pragma once

// Data plane of one entry: accepts requests from callers and forwards them to
// endpoints.

#include "pomelomill/traffic/caller_protocol.h"
#include "pomelomill/traffic/endpoint_client.h"
#include "pomelomill/traffic/request_metrics.h"
#include "pomelomill/traffic/traffic_server.h"
