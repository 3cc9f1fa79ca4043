#include "worker_directory.h"

#include <doctest/doctest.h>

#include <string>

#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/dispatch/dispatch_error.h"
#include "pomelomill/jobtesting.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHeartbeat = milliseconds(1500);

/// A store with workers "a0", "a1", ... of pool "a" and "b0", "b1", ... of pool
/// "b", and a directory whose store calls are counted.
struct Fixture {
  VirtualTimerService timers;
  FakeKvStore store{timers};
  StoreFaults faults;
  int calls = 0;
  /// Successful reads of the whole list.
  int full_reads = 0;
  int watches = 0;
  int failed = 0;
  int decoded = 0;
  std::size_t bytes = 0;
  int refreshes = 0;
  std::vector<std::string> bad_keys;
  TransactionClient client = Counted(store.Client(timers, faults));
  WorkerDirectory directory{
      client,
      timers,
      "servers/",
      {.decode = [this](const StoredKey& it) { return Decode(it); },
       .on_refreshed = [this] { ++refreshes; },
       .on_bad_record = [this](const std::string& key,
                               std::error_code) { bad_keys.push_back(key); }}};

  TransactionClient Counted(const TransactionClient& from) {
    const auto count = [this](StoreCallback<PrefixRead> done) {
      return [this, done = std::move(done)](const Result<PrefixRead>& result) {
        if (!result) ++failed;
        if (result) {
          for (const StoredKey& it : result->items)
            bytes += it.key.size() + it.value.size();
        }
        done(result);
      };
    };
    TransactionClient counted = from;
    counted.read_prefix = [=, this](std::string prefix, Duration timeout,
                                    StoreCallback<PrefixRead> done) {
      ++calls;
      from.read_prefix(std::move(prefix), timeout,
                       count([this, done = std::move(done)](
                                 const Result<PrefixRead>& result) {
                         full_reads += result ? 1 : 0;
                         done(result);
                       }));
    };
    counted.watch_prefix = [=, this](std::string prefix, Version after,
                                     Duration wait,
                                     StoreCallback<PrefixRead> done) {
      ++calls;
      ++watches;
      from.watch_prefix(std::move(prefix), after, wait, count(std::move(done)));
    };
    return counted;
  }

  /// Decodes a value that begins with "ready" or "draining"; values that begin
  /// with "bad" are malformed.
  Result<ListedWorker> Decode(const StoredKey& entry) {
    ++decoded;
    if (entry.value.starts_with("bad"))
      return Unexpected(DispatchError::kMalformedRecord);
    ListedWorker worker;
    worker.spec.id = WorkerId(entry.key.substr(entry.key.find('/') + 1));
    worker.spec.is_draining = entry.value.starts_with("draining");
    worker.pool = PoolId(worker.spec.id.value().substr(0, 1));
    return worker;
  }

  void Put(const std::string& id, const std::string& value = "ready") {
    store.Put("servers/" + id, value + std::string(400, '.'));
  }

  void AddWorkers(int n) {
    for (int i = 0; i < n; ++i) {
      Put("a" + std::to_string(i));
      Put("b" + std::to_string(i));
    }
  }

  /// Advances by `time`; each worker renews its registration once in each
  /// kHeartbeat, evenly spread.
  void RenewEntries(int n, Duration time) {
    const Instant end = timers.Now() + time;
    int i = 0;
    while (timers.Now() < end) {
      Put((i % 2 == 0 ? "a" : "b") + std::to_string(i / 2));
      i = (i + 1) % (2 * n);
      timers.Advance(kHeartbeat / (2 * n));
    }
  }

  std::size_t count(const char* pool) const {
    return directory.WorkersOf(PoolId(pool)).size();
  }
};

}  // namespace

// Guards against an owner whose link is saturated by the list of workers: a
// registration is transferred once for each change, not once in each period.
TEST_CASE(
    "traffic is proportional to the changes, not to the size of the list") {
  Fixture f;
  constexpr int kWorkers = 175;
  f.AddWorkers(kWorkers);
  f.directory.Start();
  f.timers.Advance(seconds(1));
  CHECK(f.count("a") == kWorkers);
  f.bytes = 0;
  f.decoded = 0;
  f.watches = 0;
  f.timers.Advance(seconds(30));
  CHECK(f.bytes == 0);
  CHECK(f.decoded == 0);
  f.RenewEntries(kWorkers, seconds(30));
  // 20 heartbeats of each worker; one of them may be in flight.
  constexpr int kBeats = 20;
  CHECK(f.decoded <= 2 * kWorkers * kBeats);
  CHECK(f.decoded >= 2 * kWorkers * (kBeats - 1));
  CHECK(f.bytes <= std::size_t{2} * kWorkers * kBeats * 415);
  CHECK(f.full_reads == 1);
  // One call in each period of 400 ms.
  CHECK(f.watches <= 151);
  CHECK(f.count("a") == kWorkers);
  CHECK(f.count("b") == kWorkers);
}

// Guards against tasks that are started on a draining or removed worker, and
// against a new worker that stays idle.
TEST_CASE("a change of the workers is known within a second") {
  Fixture f;
  f.AddWorkers(3);
  f.directory.Start();
  f.timers.Advance(seconds(1));
  f.Put("a0", "draining");
  f.store.Erase("servers/a1");
  f.Put("a7");
  f.timers.Advance(seconds(1));
  const auto workers = f.directory.WorkersOf(PoolId("a"));
  REQUIRE(workers.size() == 3);
  CHECK(workers[0].spec.is_draining);
  CHECK(workers[1].spec.id == WorkerId("a2"));
  CHECK(workers[2].spec.id == WorkerId("a7"));
  CHECK(f.count("b") == 3);
}

// Guards against removed workers that stay listed and new ones that never are,
// because the store has discarded the part of its history with their changes.
TEST_CASE("the list is read again after the store has discarded its history") {
  Fixture f;
  f.AddWorkers(3);
  f.directory.Start();
  f.timers.Advance(seconds(1));
  f.faults.is_turned_away = true;
  f.store.Erase("servers/a1");
  f.Put("a8");
  f.store.DiscardHistory();
  f.timers.Advance(seconds(1));
  CHECK(f.count("a") == 3);
  f.faults.is_turned_away = false;
  f.timers.Advance(milliseconds(1500));
  const auto workers = f.directory.WorkersOf(PoolId("a"));
  REQUIRE(workers.size() == 3);
  CHECK(workers[1].spec.id == WorkerId("a2"));
  CHECK(workers[2].spec.id == WorkerId("a8"));
  CHECK(f.full_reads == 2);
}

// Guards against a directory that counts as up to date while the store is
// unavailable, against a burst of calls during that time, and against workers
// that stay listed although their registrations expired meanwhile.
TEST_CASE("failed polls keep the list and are retried at the polling period") {
  for (const bool is_cut : {false, true}) {
    CAPTURE(is_cut);
    Fixture f;
    f.AddWorkers(3);
    f.directory.Start();
    f.timers.Advance(seconds(1));
    (is_cut ? f.faults.is_cut : f.faults.is_resetting) = true;
    // A response that is in flight still arrives.
    f.timers.Advance(milliseconds(500));
    const int refreshes = f.refreshes;
    f.watches = 0;
    f.timers.Advance(seconds(9));
    CHECK(f.refreshes == refreshes);
    CHECK(f.count("a") == 3);
    CHECK(f.watches <= 23);
    CHECK(f.failed > 0);
    // The store removes expired registrations; the workers write them again.
    f.store.Erase("servers/a0");
    f.store.Erase("servers/a1");
    f.faults.is_cut = false;
    f.faults.is_resetting = false;
    f.timers.Advance(seconds(1));
    f.Put("a0");
    f.timers.Advance(seconds(1));
    CHECK(f.count("a") == 2);
    CHECK(f.refreshes > refreshes);
    CHECK(f.full_reads == 1);
  }
}

// Guards against a directory that never loads after a failed first read.
TEST_CASE("a failed read of the list is retried") {
  Fixture f;
  f.AddWorkers(2);
  f.faults.is_resetting = true;
  f.directory.Start();
  f.timers.Advance(seconds(2));
  CHECK_FALSE(f.directory.is_loaded());
  CHECK(f.refreshes == 0);
  f.faults.is_resetting = false;
  f.timers.Advance(seconds(1));
  CHECK(f.directory.is_loaded());
  CHECK(f.count("b") == 2);
}

// Guards against a worker that stays usable after its registration has become
// malformed, and against a log line for each heartbeat of such a worker.
TEST_CASE("a malformed registration is reported once") {
  Fixture f;
  f.AddWorkers(2);
  f.directory.Start();
  f.timers.Advance(seconds(1));
  for (int i = 0; i < 5; ++i) {
    f.Put("a1", "bad");
    f.timers.Advance(seconds(1));
  }
  CHECK(f.count("a") == 1);
  CHECK(f.bad_keys == std::vector<std::string>{"servers/a1"});
  f.Put("a1");
  f.timers.Advance(seconds(1));
  CHECK(f.count("a") == 2);
}

// Guards against an outdated list in an entry that acquires a pool after it
// owned none for a while, and against calls while it owns no pool.
TEST_CASE("a stopped directory sends no calls and has no workers") {
  Fixture f;
  f.AddWorkers(2);
  f.directory.Start();
  f.timers.Advance(seconds(1));
  f.directory.Stop();
  const int calls = f.calls;
  f.store.Erase("servers/a0");
  f.timers.Advance(seconds(5));
  CHECK(f.calls == calls);
  CHECK_FALSE(f.directory.is_loaded());
  CHECK(f.count("a") == 0);
  f.directory.Start();
  f.timers.Advance(milliseconds(100));
  CHECK(f.count("a") == 1);
}

// Guards against TWICE: the next incarnation of a worker carries a late start
// out before the next poll shows it to the owner.
TEST_CASE("a change of a worker that is followed is known at once") {
  Fixture it;
  it.AddWorkers(2);
  it.directory.Start();
  it.timers.Advance(seconds(1));
  it.directory.Follow(WorkerId("a0"), seconds(13));
  for (int i = 0; i < 10; ++i) {
    // More than the least time between two calls.
    it.timers.Advance(milliseconds(317));
    const bool is_draining = i % 2 == 0;
    it.Put("a0", is_draining ? "draining" : "ready");
    it.timers.Advance(milliseconds(5));
    CHECK(it.directory.WorkersOf(PoolId("a")).front().spec.is_draining ==
          is_draining);
  }
}

TEST_CASE("following workers costs two calls for each heartbeat at most") {
  Fixture it;
  constexpr int kWorkers = 20;
  it.AddWorkers(kWorkers);
  it.directory.Start();
  it.RenewEntries(kWorkers, seconds(3));
  const auto calls_in_a_lifetime = [&] {
    it.calls = it.refreshes = 0;
    it.RenewEntries(kWorkers, seconds(12));
    return it.calls;
  };
  const int without = calls_in_a_lifetime();
  const int refreshes = it.refreshes;
  // No other id begins with one of these.
  for (int i = 4; i < 8; ++i)
    it.directory.Follow(WorkerId("b" + std::to_string(i)), seconds(13));
  const int with = calls_in_a_lifetime();
  MESSAGE("calls in 12 s: " << without << ", with 4 workers followed " << with);
  CHECK(with - without <= 4 * 2 * (12'000 / 1'500));
  // A heartbeat is no news.
  CHECK(it.refreshes <= refreshes + 1);
  it.timers.Advance(seconds(15));
  CHECK(calls_in_a_lifetime() <= without + 1);
}

// Guards against a call to the store for each of the workers of a large fleet,
// and against calls without a pause while the store fails.
TEST_CASE("the calls for workers that are followed are bounded") {
  Fixture it;
  constexpr int kWorkers = 60;
  it.AddWorkers(kWorkers);
  it.directory.Start();
  it.timers.Advance(seconds(1));
  it.calls = 0;
  it.timers.Advance(seconds(2));
  const int without = it.calls;
  for (int i = 0; i < kWorkers; ++i)
    it.directory.Follow(WorkerId("a" + std::to_string(i)), seconds(13));
  it.calls = 0;
  it.timers.Advance(seconds(2));
  CHECK(it.calls <= without + 2 * 16);
  it.faults.is_resetting = true;
  it.calls = 0;
  it.timers.Advance(seconds(4));
  CHECK(it.calls <= 17 * 4'000 / 400 + 17);
}

}  // namespace pomelomill
