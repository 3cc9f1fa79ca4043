#pragma once

#include <vector>

#include "pomelomill/base/event_log.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/jobserver/worker_link.h"
#include "pomelomill/workspaces/share_ledger.h"

namespace pomelomill {

const char* YesOrNo(bool is_true);

/// Returns the fields of a dispatcher's event for the log; a part that the
/// event does not have is left out.
std::vector<EventField> FieldsOf(const DispatchEvent& event);

/// The fields of a worker's response after a silence. `age_ms` is the age of
/// the incarnation that responds, in milliseconds.
std::vector<EventField> FieldsOf(const WorkerId& worker,
                                 const WorkerReport& report,
                                 const WorkerSilence& silence,
                                 std::int64_t age_ms);

/// The fields of a change of a pool's share of a workspace's cap; `use` is what
/// the pool uses.
std::vector<EventField> FieldsOf(const WorkspaceId& workspace,
                                 const PoolShare& former,
                                 const PoolShare& share,
                                 const WorkspaceUse& use);

}  // namespace pomelomill
