#pragma once

// Decisions on the VMs of all pools: maintenance waves. Pure; see
// docs/platform.md.

#include "pomelomill/fleet/fleet_vm.h"
#include "pomelomill/fleet/pool_sizer.h"
#include "pomelomill/fleet/wave_planner.h"
