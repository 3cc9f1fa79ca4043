#pragma once

// Control plane of one region: the control lease, the writer of the region
// state, and the execution of planned stops, moves and maintenance waves.

#include "pomelomill/control/control_error.h"
#include "pomelomill/control/control_lease.h"
#include "pomelomill/control/controller.h"
#include "pomelomill/control/intent_executor.h"
#include "pomelomill/control/intent_step.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/control/vm_adoption.h"
#include "pomelomill/control/wave_windows.h"
