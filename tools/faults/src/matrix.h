#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "checkers.h"
#include "pomelomill/testing.h"
#include "world.h"

namespace pomelomill::faults {

/// What passes at a step; decides which faults apply to it.
enum class StepKind {
  kStoreRead,
  kStoreWrite,
  kStoreWatch,
  kStoreLease,
  kPeerMessage,
  kPlatformRead,
  kPlatformWrite,
  kEndpointCall,
  kWorkerCall,
  /// Inside one process; only the process itself can fail here.
  kLocal,
};

/// One named step of a group.
struct Step {
  std::string name;
  StepKind kind = StepKind::kStoreRead;
  /// Faults that make the process take this step; armed with every cell.
  std::vector<testing::ArmedFault> prelude;
};

/// A scenario that runs cores of the product through its steps.
struct Group {
  std::string name;
  std::vector<Step> steps;
  std::vector<std::string> properties;
  /// Virtual time after which the evidence is collected.
  Duration length{};
  bool has_store = true;
  bool has_peers = false;
  bool has_vms = false;
  /// Builds the scenario; the result is kept alive until the cell ends.
  std::function<std::shared_ptr<void>(World&)> start;
};

enum class CellKind { kNoFault, kSingle, kTwice, kPair };

/// One cell of the matrix.
struct Cell {
  CellKind kind = CellKind::kSingle;
  std::string group;
  std::vector<testing::ArmedFault> faults;
};

struct CellResult {
  /// False when no armed fault has happened: the cell shows nothing.
  bool is_reached = false;
  std::vector<Finding> findings;
};

/// Faults that apply to a step of a group.
std::vector<testing::Fault> FaultsFor(const Group& group, const Step& step);

/// All cells of a group: without fault, every fault at every step once and
/// twice, and pairs of faults. Of the pairs, `pair_share` in [0, 1] is drawn
/// with `seed`.
std::vector<Cell> CellsOf(const Group& group, double pair_share,
                          std::uint64_t seed);

/// Runs one cell from start to end and checks the group's properties.
/// `prepare` may change the world before the scenario starts.
CellResult RunCell(const Group& group, const Cell& cell, std::uint64_t seed,
                   const std::function<void(World&)>& prepare = {});

/// Command that repeats the cell.
std::string RepeatCommand(const Cell& cell, std::uint64_t seed);

}  // namespace pomelomill::faults
