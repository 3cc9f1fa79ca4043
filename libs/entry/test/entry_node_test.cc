#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/config.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/entry.h"
#include "pomelomill/peer/peer_error.h"
#include "pomelomill/platform/region_state_json.h"
#include "pomelomill/testing.h"

// Several entries in one process and in virtual time, each with its control
// side and a data plane that only counts.

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeNetwork;
using testing::FakePlatform;
using testing::FakeProcess;
using testing::FakeStore;

const RegionId kRegion("region");

std::string ConfigJson() {
  Declarations declarations;
  declarations.fleet.name = "test";
  declarations.fleet.regions = {kRegion};
  declarations.fleet.zones[kRegion] = {ZoneId("z1"), ZoneId("z2")};
  PoolDeclaration pool;
  pool.id = PoolId("a");
  pool.region = kRegion;
  pool.size = 2;
  pool.min_size = 1;
  pool.vms = {VmId("vm-1"), VmId("vm-2")};
  declarations.pools[pool.id] = pool;
  ConfigRecord record;
  record.revision = Revision(1);
  record.author = "operator";
  record.apply_id = ApplyId("apply-1");
  record.writer = "operator/1";
  record.sequence = 1;
  record.text = CanonicalText(declarations);
  return ToJson(record);
}

/// Time from the region state that gives an entry its share until the data
/// plane uses it, as in libs/routing.
constexpr Duration kGrowthDelay = seconds(3);

/// One entry. Its data plane has no requests: it holds the table and the permit
/// that the node gave it, as the traffic thread does, and reports the slots
/// that it may use.
struct Entry {
  explicit Entry(FakeProcess& entry_process) : process(entry_process) {}

  FakeProcess& process;
  DecisionLog decisions;
  Instant permit_until{};
  Version table_version;
  /// Since when the table gives this entry a share.
  std::optional<Instant> share_since;
  std::unique_ptr<EntryNode> node;

  bool has_slots() const {
    return share_since && process.Now() - *share_since >= kGrowthDelay;
  }
};

class EntryRegion {
 public:
  explicit EntryRegion(int entries)
      : store_(world_), platform_(world_), network_(world_) {
    platform_.AddVm(VmId("vm-1"), ZoneId("z1"), RackId("r1"));
    platform_.AddVm(VmId("vm-2"), ZoneId("z2"), RackId("r2"));
    store_.Write(kConfigKey, ConfigJson());
    for (int i = 0; i < entries; ++i) {
      const std::string name = "entry-" + std::to_string(i + 1);
      processes_.push_back(std::make_unique<FakeProcess>(name, world_));
      entries_.emplace_back();
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      processes_[i]->Start([this, i] { Begin(i); });
    }
  }

  void Advance(Duration by) { world_.Advance(by); }
  Entry& entry(std::size_t i) { return *entries_[i]; }
  FakeProcess& process(std::size_t i) { return *processes_[i]; }
  std::size_t size() const { return entries_.size(); }

  bool IsReady(std::size_t i) {
    return process(i).is_running() && entry(i).node->is_ready();
  }

  /// Whether the data plane of this entry would send now.
  bool MaySend(std::size_t i) {
    return process(i).Now() < entry(i).permit_until;
  }

  /// The running entry in control; size() when there is none.
  std::size_t Holder() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (process(i).is_running() && entry(i).node->controller().is_holder())
        return i;
    }
    return size();
  }

  RegionState State() const {
    const auto state =
        RegionStateFromJson(store_.Read(RegionStateKey(kRegion)).value);
    return state.value_or(RegionState());
  }

  Version StateVersion() const {
    return store_.Read(RegionStateKey(kRegion)).version;
  }

  /// Weight of the active share that an entry holds; 0 for none.
  std::uint32_t Weight(std::size_t i) {
    for (const EntryShare& it : State().shares) {
      if (it.entry.value() == processes_[i]->name() &&
          it.phase == SharePhase::kActive)
        return it.weight;
    }
    return 0;
  }

  std::size_t shares() const { return State().shares.size(); }

 private:
  void Begin(std::size_t i) {
    FakeProcess& process = *processes_[i];
    auto entry = std::make_unique<Entry>(process);
    Entry& it = *entry;
    EntryNodeSettings settings;
    settings.entry = EntryId(process.name());
    settings.incarnation =
        IncarnationId(process.name() + "/" + std::to_string(process.run()));
    settings.region = kRegion;
    settings.peer_address = process.name();
    for (const auto& other : processes_)
      settings.seeds.push_back(other->name());
    settings.seed = i + 1;
    it.node = std::make_unique<EntryNode>(settings, store_.ClientFor(process),
                                          platform_.ClientFor(process), process,
                                          HooksFor(it), &it.decisions);
    entries_[i] = std::move(entry);
    it.node->Start();
    Report(it, process.run());
  }

  void Report(Entry& entry, std::uint64_t run) {
    if (entry.process.run() != run) return;
    LoadReport load{.entry = EntryId(entry.process.name()),
                    .state_version = entry.table_version};
    if (entry.has_slots()) load.pools[PoolId("a")] = {.free_slots = 8};
    entry.node->TrafficReported({.load = load, .queues = {}});
    entry.process.ScheduleAfter(milliseconds(100),
                                [this, &entry, run] { Report(entry, run); });
  }

  template <typename Reply>
  void Call(FakeProcess& from, const std::string& address, Duration timeout,
            PeerCallback<Reply> done,
            std::function<void(EntryNode&, PeerCallback<Reply>)> serve) {
    auto pending = std::make_shared<PeerCallback<Reply>>(std::move(done));
    const auto finish = [pending](const Result<Reply>& reply) {
      if (*pending) std::exchange(*pending, {})(reply);
    };
    from.ScheduleAfter(timeout, [finish] {
      finish(Unexpected(make_error_code(PeerError::kTimeout)));
    });
    for (std::size_t i = 0; i < size(); ++i) {
      if (process(i).name() != address || !entries_[i]) continue;
      FakeProcess& to = process(i);
      network_.Send(
          from, to, "exchange",
          [this, i, serve, finish, &from, &to, run = from.run()] {
            serve(*entry(i).node, [=, this, &from,
                                   &to](const Result<Reply>& reply) {
              network_.Send(to, from, "reply", [finish, reply, run, &from] {
                from.RunInside(run, [finish, reply] { finish(reply); });
              });
            });
          });
    }
  }

  EntryNodeHooks HooksFor(Entry& entry) {
    EntryNodeHooks hooks;
    FakeProcess& process = entry.process;
    hooks.exchange = [this, &process](const std::string& address,
                                      const ExchangeMessage& message,
                                      Duration timeout,
                                      PeerCallback<ExchangeMessage> done) {
      Call<ExchangeMessage>(
          process, address, timeout, std::move(done),
          [message](EntryNode& node,
                    const PeerCallback<ExchangeMessage>& reply) {
            node.HandleExchange(message, reply);
          });
    };
    hooks.fetch_state = [this, &process](const std::string& address,
                                         const FetchStateRequest& request,
                                         Duration timeout,
                                         PeerCallback<FetchStateReply> done) {
      Call<FetchStateReply>(
          process, address, timeout, std::move(done),
          [request](EntryNode& node,
                    const PeerCallback<FetchStateReply>& reply) {
            reply(node.HandleFetchState(request));
          });
    };
    hooks.check_health =
        [this, &process](
            const VmId& vm, const std::string&,
            const std::function<void(Result<EndpointHealth>)>& done) {
          platform_.endpoint(vm).Health(
              process, "health", seconds(1),
              [done](const Result<testing::EndpointHealth>& health) {
                if (!health) return done(Unexpected(health.error()));
                done(EndpointHealth{health->generation, health->is_draining,
                                    health->active});
              });
        };
    hooks.wall_clock_s = [] { return std::int64_t{1'700'000'000}; };
    hooks.utc_offset_s = [] { return std::int64_t{0}; };
    hooks.table_changed = [&entry](
                              const std::shared_ptr<const RegionState>& state,
                              Version version) {
      entry.table_version = version;
      const bool has_share =
          std::any_of(state->shares.begin(), state->shares.end(),
                      [&entry](const EntryShare& it) {
                        return it.entry.value() == entry.process.name() &&
                               it.phase == SharePhase::kActive;
                      });
      if (!has_share) entry.share_since.reset();
      if (has_share && !entry.share_since)
        entry.share_since = entry.process.Now();
    };
    hooks.declarations_changed =
        [](const std::shared_ptr<const Declarations>&) {};
    hooks.permit_changed = [&entry](Instant until) {
      entry.permit_until = until;
    };
    hooks.peer_load_received = [](const LoadReport&) {};
    hooks.endpoint_leaving = [](const EndpointLeaving&) {};
    return hooks;
  }

  VirtualTimerService world_;
  FakeStore store_;
  FakePlatform platform_;
  FakeNetwork network_;
  std::vector<std::unique_ptr<FakeProcess>> processes_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

// Guards against entries that wait for each other: without a region state
// none has a share, and without an entry there is no region state.
TEST_CASE("entries that start with an empty region become ready") {
  for (const int n : {2, 3}) {
    CAPTURE(n);
    EntryRegion region(n);
    region.Advance(seconds(15));
    for (std::size_t i = 0; i < region.size(); ++i) {
      CAPTURE(i);
      CHECK(region.IsReady(i));
      CHECK(region.MaySend(i));
      CHECK(region.Weight(i) > 0);
    }
    CHECK(region.Holder() < region.size());
    CHECK(region.State().vms.size() == 2);
  }
}

// Guards against an entry that takes requests before it has slots: each of them
// was refused for the 3 s until the share had grown.
TEST_CASE("an entry is ready only once it has slots") {
  EntryRegion region(3);
  std::size_t ready = 0;
  for (Duration at{}; at < seconds(15); at += milliseconds(50)) {
    region.Advance(milliseconds(50));
    for (std::size_t i = 0; i < region.size(); ++i) {
      if (!region.IsReady(i)) continue;
      ++ready;
      CHECK(region.entry(i).has_slots());
    }
  }
  CHECK(ready > 0);
}

// Guards against a region without control after the death of the holder, and
// against a second holder before the first one's lease has lapsed.
TEST_CASE("another entry takes over from a holder that died") {
  EntryRegion region(3);
  region.Advance(seconds(15));
  const std::size_t first = region.Holder();
  REQUIRE(first < region.size());
  const Epoch epoch = region.State().epoch;
  region.process(first).Crash();
  region.Advance(seconds(5));
  CHECK(region.Holder() == region.size());
  region.Advance(seconds(15));
  const std::size_t second = region.Holder();
  REQUIRE(second < region.size());
  CHECK(second != first);
  CHECK(region.State().epoch > epoch);
  for (std::size_t i = 0; i < region.size(); ++i) {
    if (i != first) CHECK(region.IsReady(i));
  }
  // The share of the dead entry is passed on, and a new run gets one again.
  region.Advance(seconds(30));
  CHECK(region.Weight(first) == 0);
  region.process(first).Restart();
  region.Advance(seconds(20));
  CHECK(region.IsReady(first));
  CHECK(region.Weight(first) > 0);
}

// Guards against slots that stay unused after a graceful stop.
TEST_CASE("the share of an entry that leaves passes on") {
  EntryRegion region(3);
  region.Advance(seconds(15));
  REQUIRE(region.shares() == 3);
  const std::size_t leaving = (region.Holder() + 1) % region.size();
  bool is_done = false;
  region.entry(leaving).node->BeginLeaving();
  CHECK_FALSE(region.IsReady(leaving));
  region.Advance(seconds(3));
  std::uint32_t weight_at_end = 0;
  region.entry(leaving).node->Leave([&] {
    is_done = true;
    weight_at_end = region.Weight(leaving);
    region.process(leaving).Crash();
  });
  region.Advance(seconds(5));
  CHECK(is_done);
  // A share that outlives its owner stays unused until the lease has lapsed
  // and the others have had no contact for 10 s.
  CHECK(weight_at_end == 0);
  region.Advance(seconds(10));
  CHECK(region.Weight(leaving) == 0);
  CHECK(region.shares() == 2);
  for (std::size_t i = 0; i < region.size(); ++i) {
    if (i != leaving) CHECK(region.IsReady(i));
  }
}

// Guards against work that is sent on a permit from before a pause, when the
// share may have been passed on.
TEST_CASE("an entry that wakes from a pause sends nothing before its permit") {
  EntryRegion region(3);
  region.Advance(seconds(15));
  const std::size_t paused = (region.Holder() + 1) % region.size();
  REQUIRE(region.MaySend(paused));
  region.process(paused).Pause();
  region.Advance(seconds(60));
  CHECK_FALSE(region.MaySend(paused));
  CHECK(region.Weight(paused) == 0);
  const Version at_wake = region.StateVersion();
  region.process(paused).Wake();
  CHECK_FALSE(region.MaySend(paused));
  CHECK_FALSE(region.IsReady(paused));
  // It may send again only once its data plane acts on a region state in
  // which its share was passed on.
  Duration waited{};
  while (!region.MaySend(paused) && waited < seconds(60)) {
    region.Advance(milliseconds(50));
    waited += milliseconds(50);
  }
  CHECK(region.MaySend(paused));
  CHECK(region.entry(paused).table_version >= at_wake);
  region.Advance(seconds(20));
  CHECK(region.IsReady(paused));
  CHECK(region.Weight(paused) > 0);
}

}  // namespace
}  // namespace pomelomill
