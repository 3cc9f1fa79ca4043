#pragma once

// The platform's VMs and workers, and the state of a region that the control
// lease holder keeps in the store.

#include "pomelomill/platform/http_platform_client.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/platform_error.h"
#include "pomelomill/platform/region_state.h"
#include "pomelomill/platform/region_state_json.h"
#include "pomelomill/platform/vm_list_tracker.h"
