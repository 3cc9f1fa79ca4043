#pragma once

// Workspaces share the workers of all pools: each has a weight and may have a
// cap on what it runs. Pure decisions without input or output; see
// docs/design/workspaces.md.

#include "pomelomill/workspaces/fair_share.h"
#include "pomelomill/workspaces/resource_amount.h"
#include "pomelomill/workspaces/share_ledger.h"
