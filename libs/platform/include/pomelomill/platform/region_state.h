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

  bool operator==(const VmState&) const = default;
};

enum class IntentKind { kReboot, kMove, kStop };
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

/// The share of every endpoint's slots and connections that one entry may
/// use: `weight` of the sum of all weights.
struct EntryShare {
  EntryId entry;
  IncarnationId incarnation;
  std::uint32_t weight = 1;

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
