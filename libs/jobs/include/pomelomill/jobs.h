#pragma once

// Jobs on the workers: placement, quotas, task leases, learned sizes and
// evidence about jobs and workers. Pure; see docs/jobs.md.

#include "pomelomill/jobs/evidence.h"
#include "pomelomill/jobs/job_events.h"
#include "pomelomill/jobs/job_scheduler.h"
#include "pomelomill/jobs/job_settings.h"
#include "pomelomill/jobs/job_state.h"
#include "pomelomill/jobs/jobs_error.h"
#include "pomelomill/jobs/place_ledger.h"
#include "pomelomill/jobs/placement.h"
#include "pomelomill/jobs/preemption.h"
#include "pomelomill/jobs/quantile_estimate.h"
#include "pomelomill/jobs/quota_book.h"
#include "pomelomill/jobs/resource_math.h"
#include "pomelomill/jobs/size_book.h"
#include "pomelomill/jobs/task_lease.h"
