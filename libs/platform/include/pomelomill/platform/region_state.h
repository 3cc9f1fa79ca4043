#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"

namespace pomelomill {

enum class VmPhase { kActive, kDraining, kStopped, kReturning, kLost };

/// One VM as the control lease holder sees it. The pool is part of this one
/// record, so a VM cannot be in two pools.
struct VmState {
  PoolId pool;
  std::string address;
  ZoneId zone;
  RackId rack;
  Generation generation;
  VmPhase phase = VmPhase::kActive;
  /// When the VM last returned from maintenance, in seconds since the Unix
  /// epoch; 0 when it never did. Wall clock time, because a cycle of weeks
  /// outlives every process and its monotonic clock.
  std::int64_t maintained_at_s = 0;

  bool operator==(const VmState&) const = default;
};

/// A start brings a stopped VM back into its pool.
enum class IntentKind { kReboot, kMove, kStop, kStart };
enum class IntentStep { kDrain, kStop, kRestart, kVerify, kDone };

/// A planned stop or move of one VM; written before the platform is called.
struct Intent {
  IntentId id;
  VmId vm;
  IntentKind kind = IntentKind::kReboot;
  /// For moves.
  PoolId target_pool;
  /// The VM's generation when the intent was made.
  Generation generation;
  /// Empty when the intent belongs to no wave.
  WaveId wave;
  IntentStep step = IntentStep::kDrain;
  /// Version of the region state that first held this step.
  Version since;

  bool operator==(const Intent&) const = default;
};

enum class WavePhase { kWaiting, kRunning, kStoppedByItself, kDone };

/// Progress of one maintenance wave.
struct WaveState {
  WaveId id;
  WavePhase phase = WavePhase::kWaiting;
  /// Why the wave waits or has stopped; empty while it runs.
  std::string reason;
  std::vector<VmId> pending;
  std::vector<VmId> done;
  std::vector<VmId> failed;

  bool operator==(const WaveState&) const = default;
};

/// Joining and leaving entries must not use their share, but its weight
/// counts in the sum: other entries may still act on an earlier region state,
/// and the shares of all entries together never exceed the whole.
enum class SharePhase { kActive, kJoining, kLeaving };

/// The share of every endpoint's slots and connections that one entry may
/// use: `weight` of the sum of all weights.
struct EntryShare {
  EntryId entry;
  IncarnationId incarnation;
  std::uint32_t weight = 1;
  SharePhase phase = SharePhase::kActive;

  bool operator==(const EntryShare&) const = default;
};

/// Everything about one region that must last, in one value of the store.
/// Source of truth for "every VM is in exactly one pool".
struct RegionState {
  RegionId region;
  Epoch epoch;
  /// Writer and sequence of the write that made this value; a writer whose
  /// response was lost finds its own write by them.
  IncarnationId writer;
  std::uint64_t sequence = 0;
  Revision config_revision;
  std::map<VmId, VmState> vms;
  std::map<IntentId, Intent> intents;
  std::map<WaveId, WaveState> waves;
  std::vector<EntryShare> shares;

  bool operator==(const RegionState&) const = default;
};

}  // namespace pomelomill
