#pragma once

// Schedules the tasks of one pool's jobs on its workers. Performs no input or
// output; see docs/platform.md.

#include "pomelomill/dispatch/backlog.h"
#include "pomelomill/dispatch/dispatch_error.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/dispatch/worker_report.h"
