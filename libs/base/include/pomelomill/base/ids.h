#pragma once

#include "pomelomill/base/strong_id.h"
#include "pomelomill/base/strong_number.h"

namespace pomelomill {

using VmId = StrongId<struct VmIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
/// "SERVICE/QUEUE".
using QueueId = StrongId<struct QueueIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
using RackId = StrongId<struct RackIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
/// The configured name of an entry; outlives restarts.
using EntryId = StrongId<struct EntryIdTag>;
/// One run of one entry process; never reused.
using IncarnationId = StrongId<struct IncarnationIdTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
using TaskId = StrongId<struct TaskIdTag>;
using JobId = StrongId<struct JobIdTag>;
using WaveId = StrongId<struct WaveIdTag>;
using IntentId = StrongId<struct IntentIdTag>;
using ApplyId = StrongId<struct ApplyIdTag>;
using LeaseId = StrongId<struct LeaseIdTag>;

/// Counts accepted configurations.
using Revision = StrongNumber<struct RevisionTag>;
/// Counts holders of a control lease.
using Epoch = StrongNumber<struct EpochTag>;
/// Counts starts of one VM.
using Generation = StrongNumber<struct GenerationTag>;
/// Counts writes of one key in the store.
using Version = StrongNumber<struct VersionTag>;

}  // namespace pomelomill
