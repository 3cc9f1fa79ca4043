#pragma once

#include "pomelomill/planner/exhaustive_planner.h"
#include "pomelomill/planner/plan.h"
#include "pomelomill/planner/planner.h"
#include "pomelomill/planner/planner_error.h"
#include "pomelomill/planner/pool_need.h"
