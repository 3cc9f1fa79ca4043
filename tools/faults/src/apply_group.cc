#include <memory>
#include <string>
#include <vector>

#include "groups.h"
#include "pomelomill/config.h"
#include "pomelomill/store.h"
#include "test_fleet.h"

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StoreCall;

constexpr Duration kCallTimeout = seconds(1);
constexpr Duration kExchangeEvery = milliseconds(500);

/// Every version of the file differs in one value.
std::string FileText(int number) {
  Declarations declarations = *FleetDeclarations();
  declarations.fleet.store_calls_per_s = 50 + number;
  return CanonicalText(declarations);
}

std::optional<WriteMark> MarkOf(const std::string& value) {
  const auto record = ReadConfigRecord(value);
  if (!record) return std::nullopt;
  return WriteMark{record->writer, record->sequence};
}

void DecodeConfig(const testing::StoreWrite& write, Evidence& evidence) {
  if (write.key != kConfigKey || write.is_erase) return;
  const auto record = ReadConfigRecord(write.value);
  if (!record) return;
  evidence.config_writes.push_back({write.at, write.version, record->revision,
                                    record->apply_id, record->writer,
                                    record->sequence});
}

/// One operator's command: reads the accepted configuration and replaces it
/// by one compare-and-swap write.
class Operator {
 public:
  Operator(World& world, testing::FakeProcess& process)
      : world_(world), process_(process) {
    client_ = world_.store.ClientFor(
        process_, [this](StoreCall call, const std::string&) -> std::string {
          if (call == StoreCall::kPut) return "apply.write";
          return writer_ && writer_->is_busy() ? "apply.read-back"
                                               : "apply.read";
        });
    if (world_.broken.store_client) {
      client_ = world_.broken.store_client(client_);
    }
    writer_ = std::make_unique<CasWriter>(client_, process_, MarkOf);
  }

  void Apply(const std::string& apply_id, int file) {
    report_ = world_.evidence.applies.size();
    world_.evidence.applies.push_back({ApplyId(apply_id),
                                       process_.name(),
                                       ApplyOutcome::kPending,
                                       {},
                                       {},
                                       0});
    client_.get(kConfigKey, kCallTimeout,
                [this, apply_id, file](const Result<StoreItem>& item) {
                  OnRead(apply_id, file, item);
                });
  }

 private:
  void OnRead(const std::string& apply_id, int file,
              const Result<StoreItem>& item) {
    ConfigRecord record;
    Version expect;
    if (item) {
      const auto current = ReadConfigRecord(item->value);
      if (!current) return End(ApplyOutcome::kNotWritten, {});
      if (current->apply_id == ApplyId(apply_id)) {
        return End(ApplyOutcome::kAccepted, current->revision);
      }
      // As the command `apply` does: a repeat is found also after later ones.
      for (const AcceptedApply& it : current->earlier) {
        if (it.apply_id == ApplyId(apply_id)) {
          return End(ApplyOutcome::kAccepted, it.revision);
        }
      }
      record.revision = current->revision;
      record.earlier = AppliesUpTo(*current);
      expect = item->version;
    } else if (item.error() != StoreError::kNotFound) {
      return End(ApplyOutcome::kNotWritten, {});
    }
    record.revision = record.revision.Next();
    record.author = process_.name();
    record.apply_id = ApplyId(apply_id);
    record.writer = process_.name() + "/" + std::to_string(process_.run());
    record.sequence = ++sequence_;
    record.text = FileText(file);
    world_.evidence.applies[report_].writer = record.writer;
    world_.evidence.applies[report_].sequence = record.sequence;
    writer_->Write(
        {kConfigKey,
         ToJson(record),
         {record.writer, record.sequence},
         expect,
         {}},
        [this, revision = record.revision](const Result<Version>& version) {
          if (version) return End(ApplyOutcome::kAccepted, revision);
          if (version.error() == StoreError::kConflict) {
            return End(ApplyOutcome::kConflict, {});
          }
          End(version.error() == StoreError::kOutcomeUnknown
                  ? ApplyOutcome::kUnknown
                  : ApplyOutcome::kNotWritten,
              {});
        });
  }

  void End(ApplyOutcome outcome, Revision revision) {
    ApplyReport& it = world_.evidence.applies[report_];
    it.outcome = outcome;
    it.revision = revision;
  }

  World& world_;
  testing::FakeProcess& process_;
  StoreClient client_;
  std::unique_ptr<CasWriter> writer_;
  std::uint64_t sequence_ = 0;
  std::size_t report_ = 0;
};

/// An entry that follows the configuration by a watch and by its peers.
class Follower {
 public:
  Follower(World& world, testing::FakeProcess& process)
      : world_(world), process_(process) {
    client_ = world_.store.ClientFor(
        process_, [](StoreCall, const std::string&) -> std::string {
          return "apply.watch";
        });
    watcher_ = std::make_unique<KeyWatcher>(
        client_, process_, kConfigKey,
        [this](const StoreItem& item) { Take(item); });
    watcher_->Start();
    Exchange();
  }

  void set_peers(std::vector<std::unique_ptr<Follower>*> peers) {
    peers_ = std::move(peers);
  }
  testing::FakeProcess& process() { return process_; }

 private:
  void Take(const StoreItem& item) {
    const auto record = ReadConfigRecord(item.value);
    if (!record) return;
    const auto is_new = state_.Offer(*record);
    if (!world_.broken.accepts_lower_revision && (!is_new || !*is_new)) return;
    item_ = item;
    world_.evidence.in_force.push_back(
        {world_.timers.Now(), process_.name(), record->revision});
  }

  void FromPeer(const StoreItem& item) {
    if (world_.broken.accepts_lower_revision) return Take(item);
    watcher_->Offer(item);
  }

  /// Sends the item in force to every peer, as Exchange and FetchState do.
  void Exchange() {
    process_.ScheduleAfter(kExchangeEvery, [this] { Exchange(); });
    if (item_.version == Version()) return;
    for (auto* peer : peers_) {
      if (!*peer) continue;
      world_.network.Send(process_, (*peer)->process_, "apply.exchange",
                          [peer, item = item_] {
                            if (*peer) (*peer)->FromPeer(item);
                          });
    }
  }

  World& world_;
  testing::FakeProcess& process_;
  StoreClient client_;
  ConfigState state_;
  StoreItem item_;
  std::unique_ptr<KeyWatcher> watcher_;
  std::vector<std::unique_ptr<Follower>*> peers_;
};

class ApplyScenario {
 public:
  explicit ApplyScenario(World& world) : world_(world) {
    world_.decode_write = DecodeConfig;
    world_.conflicting_write = [this] { WriteOver(); };
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
      followers_.emplace_back();
      processes_.push_back(&world_.AddProcess(name));
    }
    for (std::size_t i = 0; i < followers_.size(); ++i) {
      processes_[i]->Start([this, i] { BeginFollower(i); });
    }
    for (const char* name : {"operator-1", "operator-2"}) {
      operators_.emplace_back();
      processes_.push_back(&world_.AddProcess(name, false));
      processes_.back()->Start([this, i = operators_.size() - 1] {
        operators_[i] = std::make_unique<Operator>(
            world_, *processes_[followers_.size() + i]);
      });
    }
    ApplyAt(seconds(3), 0, "apply-1", 1);
    // Both operators apply at the same moment.
    ApplyAt(seconds(8), 0, "apply-2", 2);
    ApplyAt(seconds(8), 1, "apply-3", 3);
    // A repeat of the same apply after an answer that was lost to the person.
    ApplyAt(seconds(40), 0, "apply-2", 2);
    ApplyAt(seconds(60), 1, "apply-4", 4);
  }

 private:
  void BeginFollower(std::size_t i) {
    followers_[i] = std::make_unique<Follower>(world_, *processes_[i]);
    std::vector<std::unique_ptr<Follower>*> peers;
    for (std::size_t n = 0; n < followers_.size(); ++n) {
      if (n != i) peers.push_back(&followers_[n]);
    }
    followers_[i]->set_peers(std::move(peers));
  }

  void ApplyAt(Duration at, std::size_t i, const std::string& id, int file) {
    world_.timers.ScheduleAt(Instant(at), [this, i, id, file] {
      testing::FakeProcess& process = *processes_[followers_.size() + i];
      process.RunInside(process.run(), [this, i, id, file] {
        operators_[i]->Apply(id, file);
      });
    });
  }

  /// Another operator's write between a step and the next.
  void WriteOver() {
    ConfigRecord record;
    const auto current = ReadConfigRecord(world_.store.Read(kConfigKey).value);
    if (current) {
      record.revision = current->revision;
      record.earlier = AppliesUpTo(*current);
    }
    record.revision = record.revision.Next();
    record.author = "operator-9";
    record.writer = "operator-9/1";
    record.sequence = ++conflicts_;
    record.apply_id = ApplyId("conflict-" + std::to_string(conflicts_));
    record.text = FileText(9);
    world_.store.Write(kConfigKey, ToJson(record));
  }

  World& world_;
  std::vector<testing::FakeProcess*> processes_;
  std::vector<std::unique_ptr<Follower>> followers_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::uint64_t conflicts_ = 0;
};

}  // namespace

Group ApplyGroup() {
  Group group;
  group.name = "apply";
  group.steps = {
      {"apply.read", StepKind::kStoreRead, {}},
      {"apply.write", StepKind::kStoreWrite, {}},
      {"apply.read-back",
       StepKind::kStoreRead,
       {{"apply.write", testing::Fault::kLoseResponse, 1},
        {"apply.write", testing::Fault::kLoseResponse, 2}}},
      {"apply.watch", StepKind::kStoreWatch, {}},
      {"apply.exchange", StepKind::kPeerMessage, {}},
  };
  group.properties = {"P8"};
  group.length = seconds(120);
  group.has_peers = true;
  group.start = [](World& world) -> std::shared_ptr<void> {
    return std::make_shared<ApplyScenario>(world);
  };
  return group;
}

}  // namespace pomelomill::faults
