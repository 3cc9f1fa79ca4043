#pragma once

// Access to the platform's key-value service.

#include "pomelomill/store/adaptive_committer.h"
#include "pomelomill/store/answer_timeout.h"
#include "pomelomill/store/call_counter.h"
#include "pomelomill/store/cas_writer.h"
#include "pomelomill/store/circuit_breaker.h"
#include "pomelomill/store/http_store_client.h"
#include "pomelomill/store/key_watcher.h"
#include "pomelomill/store/lease_keeper.h"
#include "pomelomill/store/prefix_follower.h"
#include "pomelomill/store/store_client.h"
#include "pomelomill/store/store_error.h"
#include "pomelomill/store/transaction_client.h"
