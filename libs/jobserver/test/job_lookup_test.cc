#include "job_lookup.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <string>
#include <vector>

#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

const JobId kJob("00000000000000aa");

/// Lookup in a process that owns pool "p", on a store that records its reads.
class LookupFixture {
 public:
  LookupFixture() : peers(context) {
    store.read = [this](const std::string& key, Duration,
                        const StoreCallback<StoredKey>& done) {
      reads.push_back(key);
      if (is_store_down) return done(Unexpected(StoreError::kUnavailable));
      const auto it = values.find(key);
      if (it == values.end()) return done(Unexpected(StoreError::kNotFound));
      done(StoredKey{.key = key, .value = it->second, .version = Version(1)});
    };
    LocalPools local;
    local.job_phase = [this](const PoolId& pool,
                             const JobId& job) -> std::optional<JobPhase> {
      if (pool != PoolId("p") || !known.contains(job)) return std::nullopt;
      return known[job];
    };
    lookup.emplace(store, peers, view, local);
  }

  Result<std::optional<JobPhase>> Find(const std::string& expected_pool) {
    Result<std::optional<JobPhase>> found = std::optional<JobPhase>();
    bool is_done = false;
    lookup->FindPhase(kJob, {PoolId(expected_pool), QueueId("q")},
                      [&](const Result<std::optional<JobPhase>>& it) {
                        found = it;
                        is_done = true;
                      });
    REQUIRE(is_done);
    return found;
  }

  asio::io_context context;
  PersistentHttpClient peers;
  ClusterView view;
  TransactionClient store;
  bool is_store_down = false;
  std::map<std::string, std::string> values;
  std::vector<std::string> reads;
  std::map<JobId, JobPhase> known;
  std::optional<JobLookup> lookup;
};

}  // namespace

TEST_CASE("a job's state comes from its pool's owner without a store read") {
  // Load pattern: callers poll the states of running jobs all day, also during
  // store outages. Guards against a read of the store for each poll.
  LookupFixture it;
  it.known[kJob] = JobPhase::kComplete;
  it.is_store_down = true;
  const auto found = it.Find("p");
  REQUIRE(found);
  CHECK(*found == JobPhase::kComplete);
  CHECK(it.reads.empty());
}

TEST_CASE("the store is asked for a job that the expected pool does not have") {
  LookupFixture it;
  SUBCASE("the job was accepted for another pool") {
    it.known[kJob] = JobPhase::kRunning;
    it.values[JobLocationKey(kJob)] =
        EncodeJobLocation({PoolId("p"), QueueId("q")});
    const auto found = it.Find("other");
    REQUIRE(found);
    CHECK(*found == JobPhase::kRunning);
  }
  SUBCASE("the owner has not seen the job yet") {
    it.values[JobLocationKey(kJob)] =
        EncodeJobLocation({PoolId("p"), QueueId("q")});
    const auto found = it.Find("p");
    REQUIRE(found);
    CHECK(*found == JobPhase::kQueued);
  }
  SUBCASE("the job does not exist") {
    const auto found = it.Find("p");
    REQUIRE(found);
    CHECK(!*found);
  }
  SUBCASE("the store is unavailable") {
    it.is_store_down = true;
    CHECK(!it.Find("p"));
  }
}

}  // namespace pomelomill
