#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/store.h"
#include "pomelomill/testing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeProcess;
using testing::FakeStore;
using testing::Fault;
using testing::FaultInjector;

/// Values are "WRITER SEQUENCE".
std::optional<WriteMark> ReadMark(const std::string& value) {
  const std::size_t blank = value.find(' ');
  if (blank == std::string::npos) return std::nullopt;
  return WriteMark{value.substr(0, blank), std::stoull(value.substr(blank))};
}

CasWrite WriteOf(const WriteMark& mark, Version expect) {
  return {"k", mark.writer + ' ' + std::to_string(mark.sequence), mark, expect,
          LeaseId()};
}

struct Fixture {
  VirtualTimerService world;
  FaultInjector injector{world};
  FakeStore store{world, &injector};
  FakeProcess process{"entry-1", world};
  StoreClient client = store.ClientFor(process);
  CasWriter writer{client, process, ReadMark};

  Result<Version> Write(Version expect) {
    std::optional<Result<Version>> result;
    writer.Write(WriteOf({"w", 1}, expect), [&](Result<Version> r) {
      REQUIRE(!result);
      result = r;
    });
    world.Advance(seconds(30));
    REQUIRE(result);
    CHECK_FALSE(writer.is_busy());
    return *result;
  }
};

// Guards against a second write, or an unknown outcome, after a response that
// was lost although the write took effect.
TEST_CASE("a write whose response was lost is found and not repeated") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLoseResponse, 1});
  CHECK(f.Write(Version()) == Version(1));
  CHECK(f.store.WritesOf("k").size() == 1);
  CHECK(f.store.CallsOf(testing::StoreCall::kPut) == 1);
}

// Guards against giving up on a write whose request never arrived.
TEST_CASE("a write whose request was lost is repeated") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLoseRequest, 1});
  CHECK(f.Write(Version()) == Version(1));
  CHECK(f.store.WritesOf("k").size() == 1);
}

// Guards against a repeat that the late original turns into a conflict with
// the writer itself.
TEST_CASE("a late request and its repeat take effect once") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLateRequest, 1});
  CHECK(f.Write(Version()) == Version(1));
  f.world.Advance(seconds(30));
  CHECK(f.store.WritesOf("k").size() == 1);
}

// Guards against a lagging read being taken for proof that nothing was
// written.
TEST_CASE("a stale read after a lost response does not cause a second write") {
  Fixture f;
  f.store.Write("k", "other 7");
  f.injector.Arm({"store.put", Fault::kLoseResponse, 1});
  f.injector.Arm({"store.get", Fault::kStaleRead, 1});
  CHECK(f.Write(Version(1)) == Version(2));
  CHECK(f.store.WritesOf("k").size() == 2);
}

// Guards against the report that nothing was written when this write came
// first and another writer has replaced it.
TEST_CASE("a write that later writes cover has an unknown outcome") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLoseResponse, 1});
  f.world.ScheduleAfter(milliseconds(500),
                        [&] { f.store.Write("k", "other 1"); });
  CHECK(f.Write(Version()).error() == StoreError::kOutcomeUnknown);
}

// Guards against an unknown outcome when the replaced version proves that
// another writer won.
TEST_CASE("a lost request behind another writer is a conflict") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLoseRequest, 1});
  f.world.ScheduleAfter(milliseconds(500),
                        [&] { f.store.Write("k", "other 1"); });
  CHECK(f.Write(Version()).error() == StoreError::kConflict);
}

// Guards against calls without end during an outage.
TEST_CASE("an outage ends the write within its bound") {
  Fixture f;
  f.store.set_down(true);
  CHECK(f.Write(Version()).error() == StoreError::kUnavailable);
  f.store.set_down(false);
  f.store.set_unreachable(true);
  const Instant started_at = f.world.Now();
  std::optional<Instant> ended_at;
  f.writer.Write(WriteOf({"w", 2}, Version()), [&](const Result<Version>& r) {
    CHECK(r.error() == StoreError::kOutcomeUnknown);
    ended_at = f.world.Now();
  });
  f.world.Advance(seconds(60));
  REQUIRE(ended_at);
  CHECK(*ended_at - started_at <= CasWriterOptions().timeout + seconds(1));
}

// Guards against a callback into a writer that is gone.
TEST_CASE("a writer that is destroyed runs no callback") {
  Fixture f;
  {
    CasWriter gone(f.client, f.process, ReadMark);
    gone.Write(WriteOf({"x", 1}, Version()),
               [](const Result<Version>&) { FAIL("callback ran"); });
  }
  f.world.Advance(seconds(30));
}

// Guards against false results under any mix of message faults and competing
// writers: success means exactly one write with the mark at that version,
// conflict means none, ever, and no mark is ever written twice.
TEST_CASE("results agree with the store's own record under random faults") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    VirtualTimerService world;
    FaultInjector injector(world);
    FakeStore store(world, &injector);
    constexpr std::uint64_t kWriters = 3;
    constexpr std::uint64_t kWrites = 6;
    const std::vector<Fault> faults = {
        Fault::kLoseRequest,  Fault::kLoseResponse, Fault::kLateRequest,
        Fault::kLateResponse, Fault::kDuplicate,    Fault::kReorder};
    for (std::uint64_t n = random.Below(12); n-- > 0;) {
      injector.Arm({"store.put", faults[random.Below(faults.size())],
                    static_cast<std::uint32_t>(1 + random.Below(24))});
    }
    for (std::uint64_t n = random.Below(6); n-- > 0;) {
      injector.Arm({"store.get", Fault::kStaleRead,
                    static_cast<std::uint32_t>(1 + random.Below(12))});
    }

    struct Attempt {
      WriteMark mark;
      std::optional<Result<Version>> result;
    };
    struct Writer {
      Writer(FakeStore& store, VirtualTimerService& w, const std::string& name)
          : process(name, w),
            client(store.ClientFor(process)),
            writer(client, process, ReadMark) {}
      FakeProcess process;
      StoreClient client;
      CasWriter writer;
      std::vector<Attempt> attempts;
    };
    std::vector<std::unique_ptr<Writer>> writers;
    for (std::uint64_t i = 0; i < kWriters; ++i) {
      writers.push_back(
          std::make_unique<Writer>(store, world, "w" + std::to_string(i)));
    }
    std::function<void(Writer&)> next = [&](Writer& w) {
      if (w.attempts.size() == kWrites) return;
      const std::size_t n = w.attempts.size();
      w.attempts.push_back({{w.process.name(), n + 1}, std::nullopt});
      w.writer.Write(WriteOf(w.attempts[n].mark, store.Read("k").version),
                     [&, n](Result<Version> r) {
                       w.attempts[n].result = r;
                       w.process.ScheduleAfter(milliseconds(random.Below(400)),
                                               [&] { next(w); });
                     });
    };
    for (auto& it : writers) next(*it);
    world.Advance(seconds(600));

    for (const auto& w : writers) {
      RC_ASSERT(w->attempts.size() == kWrites);
      for (const Attempt& it : w->attempts) {
        RC_ASSERT(it.result.has_value());
        std::vector<Version> written;
        for (const auto& write : store.WritesOf("k")) {
          if (ReadMark(write.value) == it.mark)
            written.push_back(write.version);
        }
        RC_ASSERT(written.size() <= 1U);
        if (it.result->has_value()) {
          RC_ASSERT(written == std::vector<Version>{**it.result});
        } else if (it.result->error() != StoreError::kOutcomeUnknown) {
          RC_ASSERT(written.empty());
        }
      }
    }
  }));
}

}  // namespace
}  // namespace pomelomill
