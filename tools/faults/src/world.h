#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "evidence.h"
#include "pomelomill/base/random.h"
#include "pomelomill/testing.h"

namespace pomelomill {
struct AttemptFinished;
struct EntryNodeHooks;
struct LoadReport;
struct RouterOptions;
}  // namespace pomelomill

namespace pomelomill::faults {

/// Deliberate faults in the code paths under test. Only the tests of the
/// checkers set them: each must make a check fail.
struct BrokenVariants {
  std::function<StoreClient(StoreClient)> store_client;
  std::function<void(RouterOptions&)> router_options;
  std::function<void(AttemptFinished&)> attempt;
  /// The body that a caller gets in place of the endpoint's.
  std::function<std::string(const std::string&)> body;
  /// Hooks between the control side of an entry and the rest of it.
  std::function<void(EntryNodeHooks&, testing::FakeProcess&)> node_hooks;
  /// What the data plane reports to the control side.
  std::function<void(LoadReport&)> load_report;
  /// Entries put every configuration in force that a peer sends.
  bool accepts_lower_revision = false;
};

/// The surroundings of one cell: the fakes, the processes, and the evidence
/// that callers and processes leave.
class World {
 public:
  explicit World(std::uint64_t seed);

  /// `is_entry` is false for an operator's command.
  testing::FakeProcess& AddProcess(const std::string& name,
                                   bool is_entry = true);

  /// The endpoint that answers at the address listed for this VM. An id that
  /// only a wrong list shows has the address of the first VM.
  testing::FakeEndpoint& EndpointOf(const VmId& vm);

  /// Evidence of the whole run.
  Evidence Collect() const;

  VirtualTimerService timers;
  testing::FaultInjector injector;
  testing::FakeStore store;
  testing::FakePlatform platform;
  testing::FakeNetwork network;
  Random random;

  BrokenVariants broken;
  /// Written by callers and processes; Collect() adds the fakes' records.
  Evidence evidence;
  /// Decode one write of the store; set by groups that make such writes.
  std::function<void(const testing::StoreWrite&, Evidence&)> decode_write;
  /// Another client writes the contested key.
  std::function<void()> conflicting_write;

 private:
  struct Slot {
    std::unique_ptr<testing::FakeProcess> process;
    bool is_entry = true;
  };

  void Break(testing::Fault fault, testing::FakeProcess& process);
  void Partition(const std::string& process, bool is_out, bool is_in);
  void LoseOne(testing::Fault fault);

  std::set<std::string> cut_out_;
  std::set<std::string> cut_in_;
  std::vector<Slot> processes_;
};

/// Time from the passage at which a fault begins until it has ended.
Duration FaultLength(testing::Fault fault,
                     const testing::FaultDurations& durations);

}  // namespace pomelomill::faults
