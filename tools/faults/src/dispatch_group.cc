#include <memory>
#include <string>
#include <vector>

#include "callers.h"
#include "groups.h"
#include "router_host.h"
#include "test_fleet.h"

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two entries that route calls to six VMs, with a send permit throughout.
/// The region state changes only to give a restarted entry its share.
class DispatchScenario {
 public:
  explicit DispatchScenario(World& world) : world_(world) {
    AddFleet(world_.platform);
    state_ = FleetState();
    for (const char* name : {"entry-1", "entry-2"}) {
      auto entry = std::make_unique<Entry>();
      entry->process = &world_.AddProcess(name);
      entries_.push_back(std::move(entry));
    }
    for (auto& it : entries_) {
      it->process->Start([this, entry = it.get()] { Begin(*entry); });
    }
    std::vector<EntryDoor> doors;
    for (auto& it : entries_) {
      doors.push_back({it->process,
                       [entry = it.get()](std::size_t request, Duration time) {
                         entry->host->Accept(request, time);
                       },
                       [entry = it.get()](std::size_t request) {
                         entry->host->Cancel(request);
                       },
                       {}});
    }
    ScheduleCallers(world_, FleetLoads(), doors, Instant(seconds(1)),
                    Instant(seconds(50)));
    world_.evidence.budgets = FleetBudgets();
  }

 private:
  struct Entry {
    testing::FakeProcess* process = nullptr;
    std::unique_ptr<RouterHost> host;
  };

  void Begin(Entry& entry) {
    const std::string& name = entry.process->name();
    RouterOptions options;
    options.entry = EntryId(name);
    options.incarnation =
        IncarnationId(name + "/" + std::to_string(entry.process->run()));
    options.seed = world_.random.Next();
    SetShare(state_, options.entry, options.incarnation);
    version_ = version_.Next();
    entry.host = std::make_unique<RouterHost>(world_, *entry.process, options);
    entry.host->Handle(DeclarationsChanged{FleetDeclarations()});
    entry.host->Handle(SendPermitChanged{Instant::max()});
    const auto table = std::make_shared<RegionState>(state_);
    for (auto& it : entries_) {
      if (!it->host || !it->process->is_running()) continue;
      it->process->RunInside(
          it->process->run(), [it = it.get(), table, version = version_] {
            it->host->Handle(RegionStateChanged{table, version});
          });
    }
  }

  World& world_;
  RegionState state_;
  Version version_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace

Group DispatchGroup() {
  Group group;
  group.name = "dispatch";
  group.steps = {
      {"dispatch.send", StepKind::kEndpointCall, {}},
      {"dispatch.probe",
       StepKind::kEndpointCall,
       {{"dispatch.send", testing::Fault::kEndpointRefuses, 1}}},
      {"retry.send",
       StepKind::kEndpointCall,
       {{"dispatch.send", testing::Fault::kEndpointRefuses, 1},
        {"dispatch.send", testing::Fault::kEndpointClosesEarly, 4}}},
      {"response.deliver", StepKind::kLocal, {}},
  };
  group.properties = {"P1", "P3", "P4", "P5"};
  group.length = seconds(60);
  group.has_vms = true;
  group.has_store = false;
  group.start = [](World& world) -> std::shared_ptr<void> {
    return std::make_shared<DispatchScenario>(world);
  };
  return group;
}

}  // namespace pomelomill::faults
