#pragma once

#include "pomelomill/maintenance/maintenance_error.h"
#include "pomelomill/maintenance/schedule_search.h"
#include "pomelomill/maintenance/wave_scheduler.h"
#include "pomelomill/maintenance/wave_types.h"
