#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/routing.h"
#include "pomelomill/testing/fake_process.h"
#include "pomelomill/testing/fake_store.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::FakeProcess;
using testing::FakeStore;

Instant At(std::int64_t ms) { return Instant(milliseconds(ms)); }

constexpr KeyOutcome kDone{.outcome = Outcome::kAnswered, .status = 201};
constexpr KeyOutcome kNotRun{.outcome = Outcome::kNotRun, .status = 503};

// Guards against a key that runs twice, and against a key that stays blocked
// after a request that was not run.
TEST_CASE("an issued key runs once and keeps its outcome") {
  KeyIssuer issuer(IncarnationId("a.1"));
  const std::string key = issuer.Issue(1).at(0);
  CHECK(KeyIssuer::IncarnationOf(key) == IncarnationId("a.1"));
  CHECK(issuer.Begin(key, At(0)).state == KeyState::kMayRun);
  CHECK(issuer.Begin(key, At(0)).state == KeyState::kRunning);
  issuer.Finish(key, kNotRun, At(1));
  CHECK(issuer.Begin(key, At(2)).state == KeyState::kMayRun);
  issuer.Finish(key, kDone, At(3));
  issuer.Finish(key, kNotRun, At(4));
  CHECK(issuer.Begin(key, At(5)).state == KeyState::kDone);
  CHECK(issuer.Begin(key, At(5)).outcome == kDone);
}

// Guards against accepting a key of another incarnation, a key that was never
// issued, and a second spelling of an issued key.
TEST_CASE("keys that this incarnation did not issue never run") {
  KeyIssuer issuer(IncarnationId("a1"));
  KeyIssuer other(IncarnationId("a2"));
  const std::string key = issuer.Issue(5).back();
  CHECK(issuer.Begin(other.Issue(1)[0], At(0)).state ==
        KeyState::kNotIssuedHere);
  for (const char* it :
       {"", "pomelomill.", "pomelomill.a1.", "pomelomill.a1.6",
        "pomelomill.a1.0", "pomelomill.a1.05", "pomelomill.a1.+5",
        "pomelomill.a1.5 ", "pomelomill.a1.-1", "pomelomill..5", "a1.5",
        "pomelomill.a1.99999999999999999999"}) {
    CAPTURE(it);
    CHECK(issuer.Begin(it, At(0)).state == KeyState::kNotIssuedHere);
  }
  CHECK(issuer.Begin(key, At(0)).state == KeyState::kMayRun);
  CHECK(!KeyIssuer::IncarnationOf("order-17").has_value());
}

// Guards against memory that grows with the number of keys, and against a key
// that runs again once its record has been evicted.
TEST_CASE("the issuer keeps bounded records and never runs a key twice") {
  CHECK(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        KeyIssuer issuer(IncarnationId("a1"),
                         {.max_records = 6, .record_ttl = seconds(2)});
        const std::vector<std::string> keys = issuer.Issue(24);
        std::set<std::string> running;
        std::set<std::string> ran;
        std::int64_t ms = 0;
        for (const auto& [what, which] : steps) {
          ms += what;
          const std::string& key = keys[which % keys.size()];
          if (what % 3 != 0) {
            const KeyDecision decision = issuer.Begin(key, At(ms));
            if (decision.state == KeyState::kMayRun) {
              RC_ASSERT(!ran.contains(key));
              RC_ASSERT(running.insert(key).second);
            }
            if (running.contains(key) && decision.state != KeyState::kMayRun) {
              RC_ASSERT(decision.state == KeyState::kRunning);
            }
          } else if (running.erase(key) > 0) {
            const bool has_run = which % 2 == 0;
            if (has_run) ran.insert(key);
            issuer.Finish(key, has_run ? kDone : kNotRun, At(ms));
          }
          RC_ASSERT(issuer.records() <= 6);
        }
      }));
}

/// An entry process that claims keys in a shared store.
struct ClaimingEntry {
  ClaimingEntry(const std::string& name, VirtualTimerService& timers,
                FakeStore& store)
      : process(name, timers), client(store.ClientFor(process)) {
    claims = std::make_unique<KeyClaims>(
        client, process, KeyClaimsOptions{.incarnation = IncarnationId(name)});
  }

  std::optional<ClaimResult> Claim(VirtualTimerService& timers,
                                   const std::string& key) {
    auto result = std::make_shared<std::optional<ClaimResult>>();
    claims->Claim(key, [result](ClaimResult it) { *result = it; });
    timers.Advance(seconds(5));
    return *result;
  }

  FakeProcess process;
  StoreClient client;
  std::unique_ptr<KeyClaims> claims;
};

// Guards against two entries that run the same key, and against a duplicate
// request that does not receive the outcome of the first one.
TEST_CASE("a claimed key runs on one entry and duplicates get its outcome") {
  VirtualTimerService timers;
  FakeStore store(timers);
  ClaimingEntry a("a1", timers, store);
  ClaimingEntry b("b1", timers, store);
  CHECK(a.Claim(timers, "k")->state == ClaimState::kMayRun);
  CHECK(b.Claim(timers, "k")->state == ClaimState::kAlreadyClaimed);
  CHECK(!b.Claim(timers, "k")->outcome.has_value());
  a.claims->Finish("k", kDone);
  timers.Advance(seconds(1));
  CHECK(b.Claim(timers, "k")->outcome == kDone);
  CHECK(a.claims->open_claims() == 0);
  const auto leases = store.leases();
  REQUIRE(!leases.empty());
  CHECK(leases.begin()->second.ttl >= std::chrono::hours(1));
}

// Guards against a key that stays claimed after a request that was not run.
TEST_CASE("a request that was not run releases its key") {
  VirtualTimerService timers;
  FakeStore store(timers);
  ClaimingEntry a("a1", timers, store);
  ClaimingEntry b("b1", timers, store);
  CHECK(a.Claim(timers, "k")->state == ClaimState::kMayRun);
  a.claims->Finish("k", kNotRun);
  timers.Advance(seconds(1));
  CHECK(b.Claim(timers, "k")->state == ClaimState::kMayRun);
}

// Guards against running a request whose claim cannot be stored.
TEST_CASE("claims are refused while the store is unavailable") {
  VirtualTimerService timers;
  FakeStore store(timers);
  ClaimingEntry a("a1", timers, store);
  store.set_down(true);
  CHECK(a.Claim(timers, "k")->state == ClaimState::kUnavailable);
  store.set_down(false);
  CHECK(a.Claim(timers, "k")->state == ClaimState::kMayRun);
  store.set_unreachable(true);
  CHECK(a.Claim(timers, "other")->state == ClaimState::kUnavailable);
}

// Guards against an entry that mistakes its own claim for another entry's after
// the response to the write was lost.
TEST_CASE("a claim whose response was lost is found by reading back") {
  VirtualTimerService timers;
  FakeStore store(timers);
  ClaimingEntry a("a1", timers, store);
  CHECK(a.Claim(timers, "first")->state == ClaimState::kMayRun);
  bool drops = true;
  store.transport().drops_response = [&](const FakeProcess&) {
    return std::exchange(drops, false);
  };
  CHECK(a.Claim(timers, "k")->state == ClaimState::kMayRun);
  CHECK(store.WritesOf("claims/k").size() == 1);
}

// Guards against two runs of one key under any combination of lost messages,
// store outages, stale reads, latency and requests that were not run.
TEST_CASE("a claimed key never runs twice despite store faults") {
  CHECK(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps,
         std::uint64_t seed) {
        VirtualTimerService timers;
        FakeStore store(timers);
        Random random(seed);
        double loss = 0;
        store.transport().drops_response = [&](const FakeProcess&) {
          return random.Chance(loss);
        };
        store.transport().drops_request = [&](const FakeProcess&) {
          return random.Chance(loss);
        };
        std::vector<std::unique_ptr<ClaimingEntry>> entries;
        for (const char* name : {"a1", "b1", "c1"}) {
          entries.push_back(
              std::make_unique<ClaimingEntry>(name, timers, store));
        }
        // Index of the entry that is running the key.
        std::map<std::string, int> running;
        std::set<std::string> ran;
        for (const auto& [what, which] : steps) {
          const std::string key = "k" + std::to_string(which % 3);
          const int n = (which / 3) % 3;
          switch (what % 8) {
            case 0:
            case 1:
            case 2:
              entries[n]->claims->Claim(
                  key, [&, key, n](const ClaimResult& it) {
                    if (it.state != ClaimState::kMayRun) return;
                    RC_ASSERT(!ran.contains(key));
                    RC_ASSERT(running.emplace(key, n).second);
                  });
              break;
            case 3:
            case 4: {
              const auto it = running.find(key);
              if (it == running.end()) break;
              const int owner = it->second;
              running.erase(it);
              if (what >= 128) ran.insert(key);
              entries[owner]->claims->Finish(key,
                                             what >= 128 ? kDone : kNotRun);
              break;
            }
            case 5:
              loss = (what / 8) % 4 * 0.2;
              break;
            case 6:
              store.set_down((what / 8) % 2 == 0);
              store.set_stale_reads((what / 16) % 2 == 0);
              break;
            default:
              store.set_latency(milliseconds(which % 2 == 0 ? 1 : 200));
              break;
          }
          timers.Advance(milliseconds(what % 5 * 100));
        }
        timers.Advance(minutes(1));
      }));
}

}  // namespace
}  // namespace pomelomill
