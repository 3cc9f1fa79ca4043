#pragma once

// Decision logic for the VMs of all pools: maintenance waves, and moves of VMs
// between pools. The classes do no I/O and read no clock; see docs/platform.md.

#include "pomelomill/fleet/fleet_vm.h"
#include "pomelomill/fleet/pool_sizer.h"
#include "pomelomill/fleet/wave_planner.h"
