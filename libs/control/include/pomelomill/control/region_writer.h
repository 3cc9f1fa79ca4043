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

/// Store key of the state of `region`.
std::string RegionStateKey(const RegionId& region);

/// Writes the region state for the holder of the control lease.
///
/// The first write of a holder raises the epoch. From then on only writes of
/// this holder succeed, because every other writer expects an older version.
/// After a write with an unknown outcome the value is read back: a value with
/// this holder's epoch and incarnation was written by this holder. Changes that
/// were not written are dropped, since the controller derives them again from
/// the current state.
class RegionWriter {
 public:
  /// Modifies `state`, which will be written as version `next_version`.
  using Change = std::function<void(RegionState* state, Version next_version)>;
  /// Called with each state that has become the current one.
  using Observer =
      std::function<void(std::shared_ptr<const RegionState>, Version)>;

  RegionWriter(StoreClient store, RegionId region, IncarnationId writer,
               Observer observer, Duration timeout = std::chrono::seconds(2));
  ~RegionWriter();

  /// Reads the state and writes it back with the next epoch. `done` gets
  /// kSuperseded if another write came in between, kStoreFailed if a store call
  /// failed, and kBadRegionState if the stored value cannot be parsed. May be
  /// called again after a failure.
  void TakeOver(std::function<void(Status)> done);

  /// Queues a change for the next `Flush`; ignored unless `is_holder()`.
  void Propose(Change change);

  /// Writes all queued changes as one value. If the outcome of the last write
  /// is unknown, reads the value back instead and drops the queued changes.
  /// Does nothing while a call is outstanding.
  void Flush();

  /// Ends the holder role; drops queued changes and ignores outstanding
  /// responses.
  void StepDown();

  /// Whether the take-over has succeeded and no other holder has been seen
  /// since.
  bool is_holder() const;
  /// Whether changes are queued, a call is outstanding or the outcome of the
  /// last write is unknown.
  bool is_busy() const;
  /// The current state; null before the first take-over.
  std::shared_ptr<const RegionState> state() const;
  /// The store version of `state()`.
  Version version() const;
  /// Size in bytes of the last value sent to the store.
  std::size_t value_size() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
