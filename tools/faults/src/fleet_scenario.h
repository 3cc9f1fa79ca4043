#pragma once

#include <memory>
#include <string>
#include <vector>

#include "callers.h"
#include "entry_host.h"
#include "world.h"

namespace pomelomill::faults {

/// What happens in one cell besides the stream of requests.
struct FleetScenarioOptions {
  /// Two VMs are drained and rebooted, one after the other.
  bool has_drains = false;
  /// The demand shifts from one pool to the other and back.
  bool has_moves = false;
  /// One entry stops gracefully and starts again; then another does.
  bool has_entry_stops = false;
  /// Requests of one queue carry a caller's own key.
  bool has_keys = false;
};

/// Three entries with their control and data planes over the small fleet.
/// They start with a configuration and without a region state; a second
/// configuration is applied while requests run.
class FleetScenario {
 public:
  FleetScenario(World& world, FleetScenarioOptions options);
  FleetScenario(const FleetScenario&) = delete;
  FleetScenario& operator=(const FleetScenario&) = delete;

  /// Virtual time of one cell.
  static constexpr Duration kLength = std::chrono::seconds(78);

  EntryHost& host(std::size_t i) { return *hosts_[i]; }

 private:
  void Begin(std::size_t i);
  void ScheduleLoad();
  void ApplyAt(Instant at, std::uint64_t revision);
  /// Asks all entries until the one in control has taken the request.
  void Drain(const VmId& vm);
  void StopEntry(std::size_t i);

  World& world_;
  FleetScenarioOptions options_;
  std::vector<testing::FakeProcess*> processes_;
  std::vector<std::unique_ptr<EntryHost>> hosts_;
  EntryDirectory directory_;
};

}  // namespace pomelomill::faults
