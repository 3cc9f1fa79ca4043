#pragma once

// Ids, units, time, random numbers and decision records that every other
// library uses.

#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/event_log.h"
#include "pomelomill/base/hash.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/base/json_text.h"
#include "pomelomill/base/late_calls.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/strong_id.h"
#include "pomelomill/base/strong_number.h"
#include "pomelomill/base/time.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/base/virtual_timer_service.h"
