#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>

#include "router_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Step {
  std::uint8_t kind = 0;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
};

/// Reference model of the router's contract: records every event and action and
/// checks each action against the record.
class RouterModel {
 public:
  RouterModel()
      : region_(TestRegion()), router_(MakeTestRouter(region_, now_)) {}

  void ApplyStep(const Step& step) {
    switch (step.kind % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return ArriveRequest(step);
      case 5:
      case 6:
      case 7:
      case 8:
        return FinishAttempt(step.a, step.b);
      case 9:
        return Cancel(step.a);
      case 10:
      case 11:
        now_ += milliseconds(step.a * 4);
        return HandleAndCheck(TimerTick{});
      case 12:
        return ChangeRegionState(step);
      case 13:
        return FinishProbe(step);
      case 14:
        return ReportLeaving(step);
      default:
        return ChangePermitOrPeerLoad(step);
    }
  }

  /// Ends all open attempts and requests and checks that none is left and that
  /// each request got exactly one response.
  void Drain() {
    permit_until_ = Instant::max();
    HandleAndCheck(SendPermitChanged{permit_until_});
    for (int i = 0; i < 200; ++i) {
      while (!open_attempts_.empty()) FinishAttempt(0, 0);
      now_ += milliseconds(100);
      HandleAndCheck(TimerTick{});
    }
    RC_ASSERT(router_.open_requests() == 0U);
    RC_ASSERT(router_.open_attempts() == 0U);
    for (const auto& [id, request] : requests_) {
      RC_ASSERT(request.is_cancelled || request.responses == 1);
    }
    for (int i = 0; i < kVmCount; ++i)
      RC_ASSERT(router_.in_flight(TestVm(i)) == 0);
  }

 private:
  struct AttemptRecord {
    RequestId request;
    VmId vm;
    std::optional<AttemptResult> result;
    bool was_any_byte_sent = true;
  };

  struct RequestRecord {
    bool is_repeatable = false;
    bool is_cancelled = false;
    int responses = 0;
    std::vector<AttemptId> attempts;
  };

  void ArriveRequest(const Step& step) {
    static constexpr const char* kQueues[] = {"proof/layout", "proof/order",
                                              "proof/order", "proof/none"};
    const RequestId id(next_request_++);
    RequestArrived event;
    event.request = id;
    event.queue = QueueId(kQueues[step.a % 4]);
    if (step.b % 8 == 0) event.team = TeamId("limited");
    event.deadline = now_ + milliseconds(step.b * 10);
    event.is_repeatable = step.a % 16 < 12;
    requests_[id].is_repeatable =
        event.is_repeatable && event.queue == QueueId("proof/layout");
    HandleAndCheck(event);
  }

  void FinishAttempt(std::uint8_t which, std::uint8_t how) {
    if (open_attempts_.empty()) return;
    auto it = open_attempts_.begin();
    std::advance(it, which % open_attempts_.size());
    const AttemptId id = *it;
    open_attempts_.erase(it);
    AttemptFinished event;
    event.attempt = id;
    static constexpr AttemptResult kResults[] = {
        AttemptResult::kAnswered, AttemptResult::kAnsweredWithError,
        AttemptResult::kRefused, AttemptResult::kFailed,
        AttemptResult::kFailed};
    event.result = kResults[how % 5];
    event.was_any_byte_sent = how % 5 != 4;
    AttemptRecord& sent = sent_.at(id);
    sent.result = event.result;
    sent.was_any_byte_sent = event.was_any_byte_sent;
    --in_flight_[sent.vm];
    finished_ = id;
    HandleAndCheck(event);
    finished_ = AttemptId();
    // A duplicate report of the same attempt must have no effect.
    const auto again = router_.Handle(event, now_);
    RC_ASSERT(ActionsOf<Respond>(again).empty());
    RC_ASSERT(ActionsOf<SendAttempt>(again).empty());
    RC_ASSERT(ActionsOf<DropResponse>(again).empty());
  }

  void Cancel(std::uint8_t which) {
    if (requests_.empty()) return;
    auto it = requests_.begin();
    std::advance(it, which % requests_.size());
    if (it->second.responses == 0) it->second.is_cancelled = true;
    HandleAndCheck(RequestCancelled{it->first});
    HandleAndCheck(RequestCancelled{it->first});
  }

  void ChangeRegionState(const Step& step) {
    VmState& vm = region_.vms.at(TestVm(step.a % kVmCount));
    switch (step.b % 6) {
      case 0:
        vm.phase = VmPhase::kDraining;
        break;
      case 1:
        vm.phase = VmPhase::kActive;
        break;
      case 2:
        vm.generation = vm.generation.Next();
        break;
      case 3:
        vm.pool = PoolId(vm.pool == PoolId("main") ? "spare" : "main");
        break;
      case 4:
        region_.shares[1].weight = step.a % 4;
        break;
      default:
        vm.phase = VmPhase::kLost;
        break;
    }
    auto draining = draining_.find(TestVm(step.a % kVmCount));
    if (draining != draining_.end() && vm.generation > draining->second) {
      draining_.erase(draining);
    }
    version_ = version_.Next();
    HandleAndCheck(
        RegionStateChanged{std::make_shared<RegionState>(region_), version_});
    // An older region state must be ignored.
    RegionState old = TestRegion();
    old.shares[0].weight = 100;
    HandleAndCheck(
        RegionStateChanged{std::make_shared<RegionState>(old), Version(1)});
  }

  void FinishProbe(const Step& step) {
    const VmId vm = TestVm(step.a % kVmCount);
    ProbeFinished event;
    event.vm = vm;
    event.is_healthy = step.b % 4 != 0;
    event.is_draining = step.b % 8 == 1;
    event.generation = region_.vms.at(vm).generation;
    if (event.is_healthy && event.is_draining) {
      draining_[vm] = event.generation;
    }
    HandleAndCheck(event);
  }

  void ReportLeaving(const Step& step) {
    const VmId vm = TestVm(step.a % kVmCount);
    const Generation generation = region_.vms.at(vm).generation;
    if (step.b % 2 == 0) {
      draining_[vm] = generation;
      HandleAndCheck(EndpointLeaving{vm, generation});
    } else {
      // A late report about an earlier generation must have no effect.
      HandleAndCheck(EndpointLeaving{vm, Generation(generation.value() - 1)});
    }
  }

  void ChangePermitOrPeerLoad(const Step& step) {
    if (step.a % 2 == 0) {
      permit_until_ = step.b % 4 == 0 ? now_ : now_ + seconds(step.b);
      return HandleAndCheck(SendPermitChanged{permit_until_});
    }
    LoadReport report;
    report.entry = EntryId("b");
    report.in_flight[TestVm(step.b % kVmCount)] = step.b % 5;
    HandleAndCheck(PeerLoadReceived{report});
  }

  void HandleAndCheck(const RouterEvent& event) {
    for (const RouterAction& action : router_.Handle(event, now_)) {
      std::visit([this](const auto& it) { this->Check(it); }, action);
    }
    for (int i = 0; i < kVmCount; ++i) {
      RC_ASSERT(router_.in_flight(TestVm(i)) == in_flight_[TestVm(i)]);
    }
    CheckAvailableEndpoints();
  }

  void Check(const SendAttempt& it) {
    RequestRecord& request = requests_.at(it.request);
    RC_ASSERT(request.responses == 0);
    RC_ASSERT(!request.is_cancelled);
    RC_ASSERT(now_ < permit_until_);
    const VmState& vm = region_.vms.at(it.vm);
    RC_ASSERT(vm.phase == VmPhase::kActive);
    RC_ASSERT(vm.pool == PoolId("main"));
    RC_ASSERT(!draining_.contains(it.vm));
    RC_ASSERT(!router_.endpoints().is_ejected(it.vm));
    if (!request.is_repeatable) {
      RC_ASSERT(it.needs_fresh_connection);
      RC_ASSERT(!it.is_hedge);
      for (const AttemptId id : request.attempts) {
        const AttemptRecord& sent = sent_.at(id);
        RC_ASSERT(sent.result.has_value());
        RC_ASSERT(!sent.was_any_byte_sent);
      }
    }
    const std::uint32_t share =
        ShareOf(region_.shares, EntryId("a"), IncarnationId("a1"), it.vm, 4);
    RC_ASSERT(++in_flight_[it.vm] <= share);
    request.attempts.push_back(it.attempt);
    RC_ASSERT(
        sent_.emplace(it.attempt, AttemptRecord{it.request, it.vm, {}, true})
            .second);
    open_attempts_.insert(it.attempt);
  }

  void Check(const Respond& it) {
    RequestRecord& request = requests_.at(it.request);
    RC_ASSERT(!request.is_cancelled);
    RC_ASSERT(++request.responses == 1);
    bool may_have_run = false;
    for (const AttemptId id : request.attempts) {
      const AttemptRecord& sent = sent_.at(id);
      may_have_run =
          may_have_run || !sent.result ||
          (*sent.result != AttemptResult::kRefused && sent.was_any_byte_sent);
    }
    switch (it.outcome) {
      case Outcome::kAnswered: {
        RC_ASSERT(it.attempt == finished_);
        const AttemptRecord& sent = sent_.at(it.attempt);
        RC_ASSERT(sent.request == it.request);
        RC_ASSERT(*sent.result == AttemptResult::kAnswered ||
                  *sent.result == AttemptResult::kAnsweredWithError);
        break;
      }
      case Outcome::kNotRun:
        RC_ASSERT(!may_have_run);
        RC_ASSERT(it.retry_after >= seconds(1));
        break;
      case Outcome::kUnknown:
        RC_ASSERT(may_have_run);
        break;
    }
  }

  void Check(const DropResponse& it) {
    const RequestRecord& request = requests_.at(sent_.at(it.attempt).request);
    RC_ASSERT(request.is_cancelled || request.responses == 1);
    RC_ASSERT(it.attempt == finished_);
  }

  void Check(const ProbeEndpoint& it) {
    RC_ASSERT(region_.vms.contains(it.vm));
  }

  void Check(const WakeAt& it) { RC_ASSERT(it.when != Instant::max()); }

  void CheckAvailableEndpoints() {
    for (const char* name : {"main", "spare"}) {
      std::size_t active = 0;
      std::size_t ejected = 0;
      for (const auto& [vm, state] : region_.vms) {
        if (state.pool != PoolId(name)) continue;
        if (state.phase != VmPhase::kActive || draining_.contains(vm)) continue;
        ++active;
        if (router_.endpoints().is_ejected(vm)) ++ejected;
      }
      // At least half of the active endpoints, and at least one, stay
      // available.
      RC_ASSERT(active == 0 || (active - ejected) * 2 >= active);
      RC_ASSERT(active == 0 || ejected < active);
    }
  }

  Instant now_{seconds(1000)};
  RegionState region_;
  Router router_;
  Version version_{1};
  Instant permit_until_ = Instant::max();
  std::uint64_t next_request_ = 1;
  std::map<RequestId, RequestRecord> requests_;
  std::map<AttemptId, AttemptRecord> sent_;
  std::set<AttemptId> open_attempts_;
  std::map<VmId, std::uint32_t> in_flight_;
  std::map<VmId, Generation> draining_;
  AttemptId finished_;
};

}  // namespace
}  // namespace pomelomill

namespace rc {

template <>
struct Arbitrary<pomelomill::Step> {
  static Gen<pomelomill::Step> arbitrary() {
    using pomelomill::Step;
    return gen::build<Step>(
        gen::set(&Step::kind, gen::inRange<std::uint8_t>(0, 255)),
        gen::set(&Step::a, gen::inRange<std::uint8_t>(0, 255)),
        gen::set(&Step::b, gen::inRange<std::uint8_t>(0, 255)));
  }
};

}  // namespace rc

namespace pomelomill {
namespace {

// Guards against a second response to a request, "not run" for a request that
// an endpoint may have processed, a second attempt for a request that must not
// be repeated, use of more slots than the entry's share, ejection of more
// endpoints than allowed, attempts on a VM that is going out of service, and
// slots that are released twice or never.
TEST_CASE("the router's invariants hold for any order of events") {
  CHECK(rc::check([] {
    const auto steps =
        *rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<Step>>());
    RouterModel model;
    for (const Step& step : steps) model.ApplyStep(step);
    model.Drain();
  }));
}

// Checks the same invariants in runs long enough to reach full queues, shedding
// and ejection.
TEST_CASE("the router's invariants hold in long random runs") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const auto byte = [&] {
      return static_cast<std::uint8_t>(random.Below(256));
    };
    RouterModel model;
    for (int i = 0; i < 600; ++i) model.ApplyStep({byte(), byte(), byte()});
    model.Drain();
  }));
}

}  // namespace
}  // namespace pomelomill
