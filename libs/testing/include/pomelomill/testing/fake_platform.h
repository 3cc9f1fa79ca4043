#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/platform/platform_client.h"
#include "pomelomill/testing/call_transport.h"
#include "pomelomill/testing/fake_endpoint.h"
#include "pomelomill/testing/fake_workers.h"

namespace pomelomill::testing {

/// One operation on a VM that arrived at the platform.
struct PlatformOperation {
  Instant at;
  std::string process;
  VmId vm;
  VmOperation operation = VmOperation::kDrain;
  IntentId intent;
  Generation generation;
  /// Zero when accepted, repeats included.
  std::error_code outcome;
  /// False for a refusal and for the repeat of an intent.
  bool is_effective = false;
  /// Requests that ran on the VM at this moment.
  std::uint32_t in_flight = 0;
};

/// VM list and pool control of section 4 in memory. Every VM has an endpoint;
/// workers are in FakeWorkers.
class FakePlatform {
 public:
  using StepName = std::function<std::string(const std::string& call)>;

  explicit FakePlatform(VirtualTimerService& world,
                        FaultInjector* injector = nullptr);

  /// Hooks for one process. `step_name` names the step of a call such as
  /// "list-vms", "vm-status", "drain", "reboot", "stop", "start",
  /// "list-workers", "start-task", "renew-task"; default "platform.CALL".
  PlatformClient ClientFor(FakeProcess& process, StepName step_name = {});

  /// A live VM with an endpoint of its own.
  FakeEndpoint& AddVm(const VmId& id, const ZoneId& zone, const RackId& rack,
                      std::uint32_t slots = 8);
  FakeEndpoint& endpoint(const VmId& id) { return *vms_.at(id).endpoint; }
  std::vector<VmId> vms() const;
  const RackId& rack_of(const VmId& id) const {
    return vms_.at(id).record.rack;
  }
  const ZoneId& zone_of(const VmId& id) const {
    return vms_.at(id).record.zone;
  }

  /// The list shows the state of this long ago.
  void set_list_lag(Duration lag) { list_lag_ = lag; }
  /// Changes each list before it is sent, for wrong entries.
  std::function<void(std::vector<VmRecord>&)> distort_list;
  /// Time from the start of a reboot or a start until the endpoint serves.
  void set_boot_time(Duration boot_time) { boot_time_ = boot_time; }
  /// This VM does not come back from its next reboots or starts.
  void set_returns(const VmId& id, bool returns) {
    vms_.at(id).returns = returns;
  }
  void set_down(bool is_down) { is_down_ = is_down; }

  /// The VM fails without warning and does not come back.
  void LoseVm(const VmId& id);
  void LoseRack(const RackId& rack);
  void LoseZone(const ZoneId& zone);

  FakeWorkers& workers() { return workers_; }
  const FakeWorkers& workers() const { return workers_; }
  CallTransport& transport() { return transport_; }
  const std::vector<PlatformOperation>& operations() const {
    return operations_;
  }
  /// Runs of all endpoints, by start.
  std::vector<EndpointRun> AllRuns() const;

 private:
  struct Vm {
    VmRecord record;
    std::unique_ptr<FakeEndpoint> endpoint;
    IntentId intent;
    OperationState operation = OperationState::kNone;
    /// Operations that were accepted, for repeats.
    std::map<IntentId, std::vector<VmOperation>> accepted;
    bool is_listed = true;
    bool returns = true;
    bool is_lost = false;
    /// Raised by each loss and operation, so that an older boot has no effect.
    std::uint64_t boot = 0;
  };
  struct Snapshot {
    Instant at;
    std::vector<VmRecord> vms;
  };

  std::vector<VmRecord> CurrentList() const;
  std::vector<VmRecord> LaggingList() const;
  void Changed();
  Status Operate(const std::string& process, const VmId& id,
                 VmOperation operation, const IntentId& intent,
                 Generation generation);
  void Boot(const VmId& id);

  VirtualTimerService& world_;
  FaultInjector* injector_;
  CallTransport transport_;
  FakeWorkers workers_;
  bool is_down_ = false;
  Duration list_lag_{0};
  Duration boot_time_ = std::chrono::seconds(20);
  std::map<VmId, Vm> vms_;
  std::deque<Snapshot> history_;
  std::vector<PlatformOperation> operations_;
};

}  // namespace pomelomill::testing
