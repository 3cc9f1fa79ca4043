#pragma once

// The control side of one entry, without sockets and threads: registration,
// state in force, exchanges with peers, and its part in control.

#include "pomelomill/entry/demand_meter.h"
#include "pomelomill/entry/entry_node.h"
#include "pomelomill/entry/registrar.h"
