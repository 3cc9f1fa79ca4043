#pragma once

// Stand-ins for the outside systems of the job service, in virtual time.

#include "pomelomill/jobtesting/entry_link.h"
#include "pomelomill/jobtesting/fake_kv_store.h"
#include "pomelomill/jobtesting/fake_vms.h"
#include "pomelomill/jobtesting/fake_workers.h"
#include "pomelomill/jobtesting/pausable_timers.h"
