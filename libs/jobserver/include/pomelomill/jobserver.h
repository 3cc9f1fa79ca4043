#pragma once

// The job service: each entry process accepts jobs from callers, acquires pools
// and runs the tasks of their jobs on workers. See docs/platform.md.

#include "pomelomill/jobserver/coordinator.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/job_api_router.h"
#include "pomelomill/jobserver/job_server.h"
#include "pomelomill/jobserver/platform_hooks.h"
#include "pomelomill/jobserver/worker_link.h"
