#include <doctest/doctest.h>

#include "pomelomill/fleet.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kCpu = 32'000;

Instant At(int ms) { return Instant(milliseconds(ms)); }

WorkerId WorkerOf(const std::string& vm) { return WorkerId("w" + vm); }

/// Two pools of six VMs and three parked ones.
struct Deployment {
  Deployment() {
    for (const char* pool : {"a", "b"}) {
      for (int i = 0; i < 6; ++i) Add(pool + std::to_string(i), pool);
    }
    for (int i = 0; i < 3; ++i) Add("s" + std::to_string(i), "spare");
    Apply();
  }

  void Add(const std::string& id, const std::string& pool) {
    vms.push_back({.vm = VmId(id),
                   .pool = PoolId(pool),
                   .worker = WorkerOf(id),
                   .cpu_millis = static_cast<std::uint32_t>(kCpu)});
  }

  void Apply() { sizer.SetVms(vms, {PoolId("spare")}, blocked); }

  /// All VMs of a pool without demand are idle.
  void Load(const std::string& pool, std::uint64_t running,
            std::uint64_t waiting, int ms) {
    PoolLoad load{.running_cpu = running, .waiting_cpu = waiting, .at = At(ms)};
    for (const FleetVm& it : vms) {
      if (it.pool == PoolId(pool) && running == 0)
        load.idle.push_back(it.worker);
    }
    sizer.SetLoad(PoolId(pool), load);
  }

  PoolSizer sizer;
  std::vector<FleetVm> vms;
  std::set<VmId> blocked;
};

}  // namespace

TEST_CASE("a peak gets parked VMs at once, then idle ones of other pools") {
  Deployment it;
  it.Load("a", 6 * kCpu, 6 * kCpu, 0);
  it.Load("b", 0, 0, 0);
  SizePlan plan = it.sizer.Plan(At(0));
  CHECK(plan.moves.size() == 3);
  // The other pool keeps its least size and one more.
  CHECK(plan.closes.size() == 2);
  for (const auto& close : plan.closes) {
    CHECK(close.pool == PoolId("b"));
    it.sizer.OnEmptied(close.worker);
  }
  plan = it.sizer.Plan(At(100));
  CHECK(plan.moves.size() == 2);
  for (const auto& move : plan.moves) CHECK(move.to == PoolId("a"));
}

TEST_CASE("the work of one decision grows with the number of VMs only") {
  // Load pattern: a peak takes a third of the fleet from idle pools at once.
  // Guards against a decision that outlasts the lease of the process that
  // takes it: the fleet then changes its owner again and again.
  for (const int vms_of_pool : {80, 400}) {
    Deployment it;
    it.vms.clear();
    for (const char* pool : {"a", "b", "c", "d"}) {
      for (int i = 0; i < vms_of_pool; ++i)
        it.Add(pool + std::to_string(i), pool);
    }
    it.Apply();
    const auto n = static_cast<std::uint64_t>(vms_of_pool);
    it.Load("a", n * kCpu, 4 * n * kCpu, 0);
    for (const char* pool : {"b", "c", "d"}) it.Load(pool, 0, 0, 0);
    const SizePlan plan = it.sizer.Plan(At(0));
    CHECK(plan.closes.size() > n);
    // Each VM is looked at once for each kind of decision, and counted once.
    CHECK(plan.examined <= 8 * it.vms.size());
  }
}

TEST_CASE("a busy worker is never taken, and a stale load moves nothing") {
  Deployment it;
  it.Load("a", 6 * kCpu, 9 * kCpu, 0);
  it.Load("b", kCpu, 0, 0);
  const SizePlan plan = it.sizer.Plan(At(0));
  CHECK(plan.closes.empty());
  CHECK(plan.moves.size() == 3);
  Deployment stale;
  stale.Load("a", 6 * kCpu, 9 * kCpu, 0);
  CHECK(stale.sizer.Plan(At(5'000)).moves.empty());
}

TEST_CASE("a pool whose peak is over gives up workers that run little") {
  // Load pattern: one queue's peak begins while the last tasks of the peak
  // before are spread over all VMs of their pool, so that none is idle.
  Deployment it;
  it.Load("a", 6 * kCpu, 9 * kCpu, 0);
  PoolLoad ending{.running_cpu = 6 * kCpu / 8, .at = At(0)};
  for (int i = 0; i < 6; ++i) {
    ending.light[WorkerOf("b" + std::to_string(i))] =
        static_cast<std::uint32_t>(1'000 * (6 - i));
  }
  it.sizer.SetLoad(PoolId("b"), ending);
  const auto closes = it.sizer.Plan(At(0)).closes;
  // The least used ones; three and one more stay.
  REQUIRE(closes.size() == 2);
  CHECK(closes[0].worker == WorkerOf("b5"));
  CHECK(closes[1].worker == WorkerOf("b4"));
  CHECK(it.sizer.Plan(At(100)).moves.empty());
  it.sizer.OnEmptied(WorkerOf("b4"));
  const auto moves = it.sizer.Plan(At(1'000)).moves;
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].vm == VmId("b4"));
}

TEST_CASE("a worker that is closed a second time has to be emptied again") {
  // Guards against a move that ends tasks: the news that the worker was empty
  // the first time is of no use the second time.
  Deployment it;
  it.Load("a", 6 * kCpu, 6 * kCpu, 0);
  it.Load("b", 0, 0, 0);
  auto closes = it.sizer.Plan(At(0)).closes;
  REQUIRE(closes.size() == 2);
  for (const auto& close : closes) it.sizer.OnEmptied(close.worker);
  for (const auto& move : it.sizer.Plan(At(100)).moves)
    it.sizer.OnMoved(move.vm, MaintainOutcome::kRefused, At(110));
  const SizePlan again = it.sizer.Plan(At(200));
  CHECK(again.reopens.size() == 2);
  CHECK(again.closes.size() == 2);
  CHECK(again.moves.empty());
  CHECK(it.sizer.Plan(At(300)).moves.empty());
}

TEST_CASE("a worker that is not emptied in time takes tasks again") {
  Deployment it;
  it.Load("a", 6 * kCpu, 6 * kCpu, 0);
  it.Load("b", 0, 0, 0);
  const auto closes = it.sizer.Plan(At(0)).closes;
  REQUIRE_FALSE(closes.empty());
  const SizePlan plan = it.sizer.Plan(At(2'100));
  CHECK(plan.reopens.size() == closes.size());
}

TEST_CASE("an unanswered move is repeated, a refused one given up") {
  Deployment it;
  it.Load("a", 6 * kCpu, 3 * kCpu, 0);
  it.Load("b", 6 * kCpu, 0, 0);
  const auto moves = it.sizer.Plan(At(0)).moves;
  REQUIRE(moves.size() == 3);
  it.sizer.OnMoved(moves[0].vm, MaintainOutcome::kUnknown, At(10));
  it.sizer.OnMoved(moves[1].vm, MaintainOutcome::kAccepted, At(10));
  it.sizer.OnMoved(moves[2].vm, MaintainOutcome::kRefused, At(10));
  const auto again = it.sizer.Plan(At(20)).moves;
  REQUIRE_FALSE(again.empty());
  CHECK(again[0].vm == moves[0].vm);
}

TEST_CASE("VMs that nobody needs are parked after a while") {
  Deployment it;
  // Three needed at least, four in reserve: two of nine are too many.
  it.sizer =
      PoolSizer({.reserve_share = 0.23, .park_after = milliseconds(4'000)});
  for (int i = 6; i < 9; ++i) it.Add("a" + std::to_string(i), "a");
  it.Apply();
  it.Load("a", 0, 0, 0);
  CHECK(it.sizer.Plan(At(0)).closes.empty());
  it.Load("a", 0, 0, 4'100);
  CHECK(it.sizer.Plan(At(4'100)).closes.size() == 2);
}

TEST_CASE("VMs that a wave has taken are left alone") {
  Deployment it;
  it.blocked = {VmId("s0"), VmId("s1"), VmId("s2")};
  it.Apply();
  it.Load("a", 6 * kCpu, 6 * kCpu, 0);
  CHECK(it.sizer.Plan(At(0)).moves.empty());
}

TEST_CASE("moves under way grow with the fleet") {
  // Load pattern: a peak that asks for half of 349 VMs. Guards against a fixed
  // number of moves, with which such a peak is over before the VMs arrive.
  Deployment it;
  it.vms.clear();
  for (int i = 0; i < 30; ++i) it.Add("a" + std::to_string(i), "a");
  for (int i = 0; i < 319; ++i) it.Add("s" + std::to_string(i), "spare");
  it.Apply();
  it.Load("a", 30 * kCpu, 150 * kCpu, 0);
  CHECK(it.sizer.Plan(At(0)).moves.size() >= 100);
}

}  // namespace pomelomill
