#include <doctest/doctest.h>

#include <algorithm>
#include <limits>

#include "pomelomill/fleet.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kVmCpuMillis = 32'000;

Instant At(int ms) { return Instant(milliseconds(ms)); }

WorkerId WorkerOf(const std::string& vm) { return WorkerId("w" + vm); }

/// Two pools of six VMs each, and three parked VMs.
struct Deployment {
  Deployment() {
    for (const char* pool : {"a", "b"}) {
      for (int i = 0; i < 6; ++i) Add(pool + std::to_string(i), pool);
    }
    for (int i = 0; i < 3; ++i) Add("s" + std::to_string(i), "spare");
    SetVms();
  }

  void Add(const std::string& id, const std::string& pool) {
    vms.push_back({.vm = VmId(id),
                   .pool = PoolId(pool),
                   .worker = WorkerOf(id),
                   .cpu_millis = static_cast<std::uint32_t>(kVmCpuMillis)});
  }

  void SetVms() { sizer.SetVms(vms, {PoolId("spare")}, reserved_vms); }

  /// Reports the pool's demand at `ms`. All its VMs are idle when no task runs.
  void ReportDemand(const std::string& pool, std::uint64_t running_cpu_millis,
                    std::uint64_t waiting_cpu_millis, int ms) {
    PoolDemand demand{.running_cpu_millis = running_cpu_millis,
                      .waiting_cpu_millis = waiting_cpu_millis,
                      .reported_at = At(ms)};
    for (const FleetVm& it : vms) {
      if (it.pool == PoolId(pool) && running_cpu_millis == 0)
        demand.idle_workers.push_back(it.worker);
    }
    sizer.SetDemand(PoolId(pool), demand);
  }

  PoolSizer sizer;
  std::vector<FleetVm> vms;
  std::set<VmId> reserved_vms;
};

}  // namespace

TEST_CASE("a peak gets parked VMs at once, then idle VMs of other pools") {
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
  it.ReportDemand("b", 0, 0, 0);
  SizePlan plan = it.sizer.Plan(At(0));
  CHECK(plan.moves.size() == 3);
  // Pool b keeps min_vms and one more VM.
  CHECK(plan.workers_to_close.size() == 2);
  for (const auto& close : plan.workers_to_close) {
    CHECK(close.pool == PoolId("b"));
    it.sizer.OnWorkerEmptied(close.worker);
  }
  plan = it.sizer.Plan(At(100));
  CHECK(plan.moves.size() == 2);
  for (const auto& move : plan.moves) CHECK(move.to == PoolId("a"));
}

// Guards against one VM of an odd size that decides how many VMs each pool
// gets: none is sized, or all VMs are closed and moved.
TEST_CASE("one VM of an odd size does not change the sizes of the pools") {
  for (const std::uint32_t odd : {0U, 1U, 4'294'967'295U}) {
    CAPTURE(odd);
    Deployment it;
    it.vms.front().cpu_millis = odd;
    it.SetVms();
    it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
    it.ReportDemand("b", 0, 0, 0);
    const SizePlan plan = it.sizer.Plan(At(0));
    CHECK(plan.moves.size() == 3);
    CHECK(plan.workers_to_close.size() == 2);
    Deployment idle;
    idle.vms.front().cpu_millis = odd;
    idle.SetVms();
    idle.ReportDemand("a", 2 * kVmCpuMillis, 0, 0);
    idle.ReportDemand("b", 2 * kVmCpuMillis, 0, 0);
    CHECK(idle.sizer.Plan(At(0)).moves.empty());
  }
}

TEST_CASE("a demand beyond all numbers requires all VMs at most") {
  Deployment it;
  const std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
  it.ReportDemand("a", most / 2, most / 2, 0);
  it.ReportDemand("b", 0, 0, 0);
  const SizePlan plan = it.sizer.Plan(At(0));
  CHECK(plan.moves.size() == 3);
  CHECK(plan.workers_to_close.size() == 2);
  for (FleetVm& vm : it.vms) vm.cpu_millis = 0;
  it.SetVms();
  it.ReportDemand("a", most / 2, most / 2, 100);
  CHECK(it.sizer.Plan(At(100)).workers_to_close.empty());
}

TEST_CASE("the work of one plan grows linearly with the number of VMs") {
  // Load pattern: a peak takes a third of the fleet from idle pools at once.
  // Guards against a plan that takes longer to compute than the lease of the
  // process that computes it: the fleet would change its owner again and again.
  for (const int vms_of_pool : {80, 400}) {
    Deployment it;
    it.vms.clear();
    for (const char* pool : {"a", "b", "c", "d"}) {
      for (int i = 0; i < vms_of_pool; ++i)
        it.Add(pool + std::to_string(i), pool);
    }
    it.SetVms();
    const auto n = static_cast<std::uint64_t>(vms_of_pool);
    it.ReportDemand("a", n * kVmCpuMillis, 4 * n * kVmCpuMillis, 0);
    for (const char* pool : {"b", "c", "d"}) it.ReportDemand(pool, 0, 0, 0);
    const SizePlan plan = it.sizer.Plan(At(0));
    CHECK(plan.workers_to_close.size() > n);
    // Each VM is counted once, and examined once by each kind of decision.
    CHECK(plan.examined <= 8 * it.vms.size());
  }
}

TEST_CASE(
    "a busy worker is not closed, and a stale demand report moves no VM") {
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 9 * kVmCpuMillis, 0);
  it.ReportDemand("b", kVmCpuMillis, 0, 0);
  const SizePlan plan = it.sizer.Plan(At(0));
  CHECK(plan.workers_to_close.empty());
  CHECK(plan.moves.size() == 3);
  Deployment stale;
  stale.ReportDemand("a", 6 * kVmCpuMillis, 9 * kVmCpuMillis, 0);
  CHECK(stale.sizer.Plan(At(5'000)).moves.empty());
}

TEST_CASE("a pool whose peak is over gives away lightly used VMs") {
  // Load pattern: a peak of pool a begins while the last tasks of pool b's peak
  // are spread over all VMs of pool b. Guards against a peak that gets no VM
  // because none is idle.
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 9 * kVmCpuMillis, 0);
  PoolDemand ending{.running_cpu_millis = 6 * kVmCpuMillis / 8,
                    .reported_at = At(0)};
  for (int i = 0; i < 6; ++i) {
    ending.lightly_used_workers[WorkerOf("b" + std::to_string(i))] =
        static_cast<std::uint32_t>(1'000 * (6 - i));
  }
  it.sizer.SetDemand(PoolId("b"), ending);
  const auto closes = it.sizer.Plan(At(0)).workers_to_close;
  // The two least used VMs are closed; min_vms and one more VM stay.
  REQUIRE(closes.size() == 2);
  CHECK(closes[0].worker == WorkerOf("b5"));
  CHECK(closes[1].worker == WorkerOf("b4"));
  CHECK(it.sizer.Plan(At(100)).moves.empty());
  it.sizer.OnWorkerEmptied(WorkerOf("b4"));
  const auto moves = it.sizer.Plan(At(1'000)).moves;
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].vm == VmId("b4"));
}

TEST_CASE("a worker that is closed a second time must be emptied again") {
  // Guards against a move that kills tasks: a report from the first closing
  // does not show that the reopened worker is still empty.
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
  it.ReportDemand("b", 0, 0, 0);
  auto closes = it.sizer.Plan(At(0)).workers_to_close;
  REQUIRE(closes.size() == 2);
  for (const auto& close : closes) it.sizer.OnWorkerEmptied(close.worker);
  for (const auto& move : it.sizer.Plan(At(100)).moves)
    it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kRefused, At(110));
  const SizePlan again = it.sizer.Plan(At(200));
  CHECK(again.workers_to_reopen.size() == 2);
  CHECK(again.workers_to_close.size() == 2);
  CHECK(again.moves.empty());
  CHECK(it.sizer.Plan(At(300)).moves.empty());
}

TEST_CASE("a worker that is not empty within close_timeout is reopened") {
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
  it.ReportDemand("b", 0, 0, 0);
  const auto closes = it.sizer.Plan(At(0)).workers_to_close;
  REQUIRE_FALSE(closes.empty());
  const SizePlan plan = it.sizer.Plan(At(2'100));
  CHECK(plan.workers_to_reopen.size() == closes.size());
}

TEST_CASE("an unanswered move is repeated, a refused move is cancelled") {
  Deployment it;
  it.ReportDemand("a", 6 * kVmCpuMillis, 3 * kVmCpuMillis, 0);
  it.ReportDemand("b", 6 * kVmCpuMillis, 0, 0);
  const auto moves = it.sizer.Plan(At(0)).moves;
  REQUIRE(moves.size() == 3);
  it.sizer.OnMoveAnswer(moves[0].vm, VmCallOutcome::kUnknown, At(10));
  it.sizer.OnMoveAnswer(moves[1].vm, VmCallOutcome::kAccepted, At(10));
  it.sizer.OnMoveAnswer(moves[2].vm, VmCallOutcome::kRefused, At(10));
  const auto moves_at = [&](int now_ms) {
    return it.sizer.Plan(At(now_ms)).moves;
  };
  const auto is_for = [&](const VmId& vm) {
    return [&vm](const SizePlan::Move& move) { return move.vm == vm; };
  };
  const auto early = moves_at(20);
  CHECK(std::none_of(early.begin(), early.end(), is_for(moves[0].vm)));
  const auto again = moves_at(110);
  REQUIRE_FALSE(again.empty());
  CHECK(again[0].vm == moves[0].vm);
  CHECK(std::none_of(again.begin(), again.end(), is_for(moves[1].vm)));
}

// Guards against AVAIL: a VM gets tasks again because a second copy of its move
// was rejected, and the first copy ends them.
TEST_CASE("a move that may have been carried out is not cancelled") {
  Deployment it;
  it.vms.resize(12);
  it.SetVms();
  const auto report = [&](int now_ms) {
    it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, now_ms);
    it.ReportDemand("b", 0, 0, now_ms);
  };
  report(0);
  for (const auto& close : it.sizer.Plan(At(0)).workers_to_close)
    it.sizer.OnWorkerEmptied(close.worker);
  const auto moves = it.sizer.Plan(At(100)).moves;
  REQUIRE_FALSE(moves.empty());
  for (const auto& move : moves)
    it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kUnknown, At(110));
  std::size_t repeats = 0;
  std::size_t reopened = 0;
  for (int now_ms = 120; now_ms < 13'000; now_ms += 30) {
    report(now_ms);
    const SizePlan plan = it.sizer.Plan(At(now_ms));
    reopened += plan.workers_to_reopen.size();
    repeats += plan.moves.size();
    for (const auto& move : plan.moves)
      it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kBusy, At(now_ms + 5));
  }
  CHECK(repeats > moves.size());
  CHECK(reopened == 0);
  for (int now_ms = 13'000; now_ms < 14'000; now_ms += 30) {
    const SizePlan plan = it.sizer.Plan(At(now_ms));
    reopened += plan.workers_to_reopen.size();
    for (const auto& move : plan.moves)
      it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kBusy, At(now_ms + 5));
  }
  CHECK(reopened == moves.size());
}

// Guards against two moves of one VM with different destinations.
TEST_CASE("a move that may have been carried out is not redirected") {
  Deployment it;
  it.vms.resize(12);
  it.SetVms();
  it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
  it.ReportDemand("b", 0, 0, 0);
  for (const auto& close : it.sizer.Plan(At(0)).workers_to_close)
    it.sizer.OnWorkerEmptied(close.worker);
  const auto moves = it.sizer.Plan(At(100)).moves;
  REQUIRE_FALSE(moves.empty());
  for (const auto& move : moves)
    it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kUnknown, At(110));
  // Now the other pool needs the VMs.
  it.ReportDemand("a", 0, 0, 1'200);
  it.ReportDemand("b", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 1'200);
  const SizePlan plan = it.sizer.Plan(At(1'200));
  CHECK(plan.workers_to_reopen.empty());
  CHECK(plan.moves.size() >= moves.size());
  for (const auto& move : moves) {
    const auto again =
        std::find_if(plan.moves.begin(), plan.moves.end(),
                     [&](const auto& other) { return other.vm == move.vm; });
    REQUIRE(again != plan.moves.end());
    CHECK(again->to == move.to);
  }
  // Redirections are decided before the next repeat is due.
  for (const auto& move : plan.moves)
    it.sizer.OnMoveAnswer(move.vm, VmCallOutcome::kUnknown, At(1'210));
  CHECK(it.sizer.Plan(At(1'220)).workers_to_reopen.empty());
}

TEST_CASE("surplus VMs are parked after park_after") {
  Deployment it;
  // Pool a must keep three VMs and may keep four of the 18 VMs in reserve, so
  // two of its nine VMs are surplus.
  it.sizer =
      PoolSizer({.reserve_share = 0.23, .park_after = milliseconds(4'000)});
  for (int i = 6; i < 9; ++i) it.Add("a" + std::to_string(i), "a");
  it.SetVms();
  it.ReportDemand("a", 0, 0, 0);
  CHECK(it.sizer.Plan(At(0)).workers_to_close.empty());
  it.ReportDemand("a", 0, 0, 4'100);
  CHECK(it.sizer.Plan(At(4'100)).workers_to_close.size() == 2);
}

TEST_CASE("VMs that a wave has reserved are not moved") {
  Deployment it;
  it.reserved_vms = {VmId("s0"), VmId("s1"), VmId("s2")};
  it.SetVms();
  it.ReportDemand("a", 6 * kVmCpuMillis, 6 * kVmCpuMillis, 0);
  CHECK(it.sizer.Plan(At(0)).moves.empty());
}

TEST_CASE("the limit of concurrent moves grows with the fleet") {
  // Load pattern: a peak that needs half of 349 VMs. Guards against a fixed
  // limit of concurrent moves: the peak would be over before the VMs arrive.
  Deployment it;
  it.vms.clear();
  for (int i = 0; i < 30; ++i) it.Add("a" + std::to_string(i), "a");
  for (int i = 0; i < 319; ++i) it.Add("s" + std::to_string(i), "spare");
  it.SetVms();
  it.ReportDemand("a", 30 * kVmCpuMillis, 150 * kVmCpuMillis, 0);
  CHECK(it.sizer.Plan(At(0)).moves.size() >= 100);
}

}  // namespace pomelomill
