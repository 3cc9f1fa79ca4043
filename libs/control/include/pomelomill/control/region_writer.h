#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/platform/region_state.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

/// Key of the region state in the store.
std::string RegionStateKey(const RegionId& region);

/// Keeps and changes the region state for the holder of the control lease.
///
/// Taking over raises the epoch by the first write. From then on only writes
/// of this holder can succeed, because every other write expects an older
/// version. A write whose outcome is unknown is settled by reading the value:
/// a value of the own epoch and writer is the own write. Changes that were
/// not written are dropped; they are derived again from the state in force.
class RegionWriter {
 public:
  /// Changes `state`, which will become version `next`.
  using Change = std::function<void(RegionState* state, Version next)>;
  /// Called with each state that has become the one in force.
  using Observer =
      std::function<void(std::shared_ptr<const RegionState>, Version)>;

  RegionWriter(StoreClient store, RegionId region, IncarnationId writer,
               Observer observer, Duration timeout = std::chrono::seconds(2));
  ~RegionWriter();

  /// Reads the state and writes it back under the next epoch; `done` runs
  /// with kSuperseded when another holder was faster, kStoreFailed when the
  /// store did not answer. May be called again after a failure.
  void TakeOver(std::function<void(Status)> done);

  /// Queues a change; ignored unless this is the holder.
  void Propose(Change change);

  /// Writes all queued changes as one value, or settles a write whose outcome
  /// is unknown. Does nothing while a call is outstanding.
  void Flush();

  /// Gives up the role; queued changes are dropped.
  void StepDown();

  bool is_holder() const;
  /// True while changes wait or a call is outstanding.
  bool is_busy() const;
  /// The state in force; null before the first take-over.
  std::shared_ptr<const RegionState> state() const;
  Version version() const;
  /// Bytes of the last value written.
  std::size_t value_size() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
