#include <memory>
#include <string>
#include <vector>

#include "groups.h"
#include "pomelomill/platform.h"
#include "pomelomill/store.h"
#include "test_fleet.h"

namespace pomelomill::faults {
namespace {

using std::chrono::seconds;
using testing::StoreCall;

constexpr const char* kControlKey = "regions/region/control";
constexpr const char* kStateKey = "regions/region/state";
constexpr Duration kCallTimeout = seconds(1);
constexpr Duration kWriteEvery = seconds(2);

std::optional<WriteMark> StateMark(const std::string& value) {
  const auto state = RegionStateFromJson(value);
  if (!state) return std::nullopt;
  return WriteMark{state->writer.value(), state->sequence};
}

std::optional<WriteMark> ControlMark(const std::string& value) {
  return WriteMark{value, 1};
}

void DecodeState(const testing::StoreWrite& write, Evidence& evidence) {
  if (write.key != kStateKey || write.is_erase) return;
  const auto state = RegionStateFromJson(write.value);
  if (!state) {
    evidence.notes.push_back("a region state cannot be read");
    return;
  }
  evidence.region_writes.push_back({write.at, write.version, *state});
}

/// One entry that holds a store lease, claims the control key with it, and
/// while it holds both moves a VM to and fro by writes of the region state.
class Candidate {
 public:
  Candidate(World& world, testing::FakeProcess& process)
      : world_(world),
        process_(process),
        incarnation_(process.name() + "/" + std::to_string(process.run())) {
    client_ = world_.store.ClientFor(
        process_, [](StoreCall call, const std::string& key) -> std::string {
          const bool is_control = key == kControlKey;
          if (call == StoreCall::kGrantLease) return "lease.grant";
          if (call == StoreCall::kRenewLease) return "lease.renew";
          if (call == StoreCall::kPut) {
            return is_control ? "lease.claim" : "lease.state-write";
          }
          return is_control ? "lease.claim-read" : "lease.state-read";
        });
    if (world_.broken.store_client) {
      client_ = world_.broken.store_client(client_);
    }
    state_writer_ = std::make_unique<CasWriter>(client_, process_, StateMark);
    claimer_ = std::make_unique<CasWriter>(client_, process_, ControlMark);
    LeaseKeeperHooks hooks;
    hooks.on_lapsed = [this] { Resign(); };
    keeper_ = std::make_unique<LeaseKeeper>(client_, process_,
                                            LeaseKeeperOptions(), hooks);
    keeper_->Start();
    Tick();
  }

 private:
  void Tick() {
    process_.ScheduleAfter(kWriteEvery, [this] { Tick(); });
    if (!keeper_->is_held()) return;
    if (claimed_ == keeper_->lease()) return ReadState();
    if (claimer_->is_busy()) return;
    const LeaseId lease = keeper_->lease();
    CasWrite write;
    write.key = kControlKey;
    write.value = incarnation_;
    write.mark.writer = incarnation_;
    write.mark.sequence = 1;
    write.lease = lease;
    claimer_->Write(std::move(write),
                    [this, lease](const Result<Version>& version) {
                      if (!version || lease != keeper_->lease()) return;
                      claimed_ = lease;
                      epoch_ = Epoch();
                    });
  }

  void ReadState() {
    if (state_writer_->is_busy()) return;
    client_.get(kStateKey, kCallTimeout, [this](const Result<StoreItem>& item) {
      if (state_writer_->is_busy()) return;
      RegionState state = FleetState();
      state.epoch = Epoch();
      Version expect;
      if (item) {
        const auto read = RegionStateFromJson(item->value);
        if (!read) return;
        state = *read;
        expect = item->version;
      } else if (item.error() != StoreError::kNotFound) {
        return;
      }
      WriteState(std::move(state), expect);
    });
  }

  void WriteState(RegionState state, Version expect) {
    if (!keeper_->is_held() || claimed_ != keeper_->lease()) return;
    // The first write of a holder raises the epoch; a higher one from another
    // holder ends this term.
    if (epoch_ == Epoch()) epoch_ = state.epoch.Next();
    if (state.epoch > epoch_) return Resign();
    state.epoch = epoch_;
    state.writer = IncarnationId(incarnation_);
    state.sequence = ++sequence_;
    VmState& vm = state.vms.at(VmId("vm-6"));
    vm.pool = PoolId(vm.pool == PoolId("quote") ? "proof" : "quote");
    world_.evidence.authority_uses.push_back(
        {world_.timers.Now(), process_.name(), claimed_});
    state_writer_->Write(
        {kStateKey, ToJson(state), {incarnation_, state.sequence}, expect, {}},
        [](const Result<Version>&) {});
  }

  void Resign() {
    claimed_ = LeaseId();
    epoch_ = Epoch();
  }

  World& world_;
  testing::FakeProcess& process_;
  std::string incarnation_;
  StoreClient client_;
  std::unique_ptr<CasWriter> state_writer_;
  std::unique_ptr<CasWriter> claimer_;
  std::unique_ptr<LeaseKeeper> keeper_;
  LeaseId claimed_;
  Epoch epoch_;
  std::uint64_t sequence_ = 0;
};

class LeaseScenario {
 public:
  explicit LeaseScenario(World& world) : world_(world) {
    world_.decode_write = DecodeState;
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
      candidates_.emplace_back();
      testing::FakeProcess& process = world_.AddProcess(name);
      process.Start([this, &process, i = candidates_.size() - 1] {
        candidates_[i] = std::make_unique<Candidate>(world_, process);
      });
    }
  }

 private:
  World& world_;
  std::vector<std::unique_ptr<Candidate>> candidates_;
};

}  // namespace

Group LeaseGroup() {
  Group group;
  group.name = "lease";
  group.steps = {
      {"lease.grant", StepKind::kStoreLease, {}},
      {"lease.renew", StepKind::kStoreLease, {}},
      {"lease.claim", StepKind::kStoreWrite, {}},
      {"lease.claim-read",
       StepKind::kStoreRead,
       {{"lease.claim", testing::Fault::kLoseResponse, 1}}},
      {"lease.state-read", StepKind::kStoreRead, {}},
      {"lease.state-write", StepKind::kStoreWrite, {}},
  };
  group.properties = {"P2"};
  group.length = seconds(90);
  group.start = [](World& world) -> std::shared_ptr<void> {
    return std::make_shared<LeaseScenario>(world);
  };
  return group;
}

}  // namespace pomelomill::faults
