#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "model.h"
#include "pomelomill/maintenance/wave_scheduler.h"
#include "pomelomill/planner/planner.h"

namespace pomelomill::measure {

/// Runs the product's planner and wave scheduler on the model, as the holder
/// of the control lease does: it keeps a region state, carries out intents
/// and takes no action while the store is down.
class ProductPolicy {
 public:
  explicit ProductPolicy(const Model& model);

  void Act(Model& model);

 private:
  void Measure(const Model& model);
  void ReadVms(const Model& model);
  void RunWaves(Model& model);
  void RunPlanner(Model& model);
  void Open(Model& model, const VmId& vm, IntentKind kind, const PoolId& pool,
            const WaveId& wave);
  int IndexOf(const VmId& vm) const { return index_.at(vm); }

  std::shared_ptr<Declarations> declarations_;
  std::shared_ptr<RegionState> state_;
  std::map<VmId, int> index_;
  std::map<QueueId, QueueDemand> demand_;
  std::set<VmId> lost_;
  Planner planner_;
  WaveScheduler scheduler_;
  std::uint64_t next_intent_ = 1;
};

}  // namespace pomelomill::measure
