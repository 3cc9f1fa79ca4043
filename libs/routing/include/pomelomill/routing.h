#pragma once

// Routing decisions of the data plane: queueing, admission control, endpoint
// selection, outlier ejection, retries and at-most-once keys. The decisions
// need no sockets, threads or clocks; adapters carry out the actions.

#include "pomelomill/routing/actions.h"
#include "pomelomill/routing/admission.h"
#include "pomelomill/routing/deadline_queue.h"
#include "pomelomill/routing/ejection.h"
#include "pomelomill/routing/endpoint_choice.h"
#include "pomelomill/routing/endpoint_set.h"
#include "pomelomill/routing/endpoint_stats.h"
#include "pomelomill/routing/error_budget.h"
#include "pomelomill/routing/events.h"
#include "pomelomill/routing/key_claims.h"
#include "pomelomill/routing/key_issuer.h"
#include "pomelomill/routing/latency_estimate.h"
#include "pomelomill/routing/retry_budget.h"
#include "pomelomill/routing/router.h"
#include "pomelomill/routing/slot_share.h"
#include "pomelomill/routing/token_bucket.h"
