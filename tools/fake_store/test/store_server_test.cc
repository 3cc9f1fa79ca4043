#include "store_server.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "pomelomill/base.h"
#include "pomelomill/store.h"
#include "pomelomill/testing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The server and a client of it on one context.
struct Fixture {
  asio::io_context context;
  AsioTimerService timers{context};
  StoreServer server{context, {}};
  HttpClient http{context};
  std::string url;
  StoreClient client;

  Fixture() {
    REQUIRE(server.Open());
    url = "http://127.0.0.1:" + std::to_string(server.port());
    client = HttpStoreClient(http, url);
  }

  template <typename T>
  Result<T> Wait(const std::function<void(StoreCallback<T>)>& start) {
    std::optional<Result<T>> result;
    start([&](Result<T> r) { result = std::move(r); });
    CHECK_MESSAGE(!result, "callbacks run later");
    while (!result) context.run_one();
    return *result;
  }
  Result<StoreItem> Get(const std::string& key) {
    return Wait<StoreItem>(
        [&](auto done) { client.get(key, seconds(5), done); });
  }
  Result<Version> Put(const std::string& key, const std::string& value,
                      Version expect, const LeaseId& lease = {}) {
    return Wait<Version>([&](auto done) {
      client.put(key, value, expect, lease, seconds(5), done);
    });
  }
  HttpResponse Admin(const std::string& method, const std::string& path) {
    std::optional<HttpResult> result;
    http.Send({.method = method, .url = url + path},
              [&](HttpResult r) { result = std::move(r); });
    while (!result) context.run_one();
    REQUIRE_FALSE(result->error);
    return result->response;
  }
};

// Guards against a client and a server that disagree on the protocol.
TEST_CASE("the HTTP client and the server speak the store protocol") {
  Fixture f;
  const std::string key = "claims/a b?&%/\xC3\xA9";
  CHECK(f.Get(key).error() == StoreError::kNotFound);
  CHECK(f.Put(key, "{\"x\": \"\xC3\xA9\"}", Version()) == Version(1));
  CHECK(f.Put(key, "other", Version()).error() == StoreError::kConflict);
  const auto item = f.Get(key);
  REQUIRE(item);
  CHECK(item->value == "{\"x\": \"\xC3\xA9\"}");
  CHECK(item->version == Version(1));
  const auto items = f.Wait<std::vector<StoreItem>>(
      [&](auto done) { f.client.range("claims/", seconds(5), done); });
  REQUIRE(items);
  REQUIRE(items->size() == 1);
  CHECK(items->front().key == key);
  CHECK(f.Wait<Version>([&](auto done) {
    f.client.erase(key, Version(1), seconds(5), done);
  }) == Version(2));
  CHECK(f.Wait<Version>([&](auto done) {
           f.client.erase(key, Version(1), seconds(5), done);
         }).error() == StoreError::kNotFound);
  CHECK(f.Put(key, "new", Version()) == Version(3));
}

// Guards against leases whose end leaves their keys behind.
TEST_CASE("leases expire, are renewed and take their keys with them") {
  Fixture f;
  const auto lease = f.Wait<LeaseId>([&](auto done) {
    f.client.grant_lease(milliseconds(400), seconds(5), done);
  });
  REQUIRE(lease);
  CHECK(f.Put("entry", "here", Version(), *lease) == Version(1));
  CHECK(f.Wait<LeaseId>([&](auto done) {
    f.client.renew_lease(*lease, seconds(5), done);
  }) == *lease);
  f.context.run_for(milliseconds(600));
  CHECK(f.Get("entry").error() == StoreError::kNotFound);
  CHECK(f.Put("entry", "late", Version(), *lease).error() ==
        StoreError::kLeaseLapsed);
  CHECK(f.Wait<LeaseId>([&](auto done) {
           f.client.renew_lease(*lease, seconds(5), done);
         }).error() == StoreError::kLeaseLapsed);
}

// Guards against watches that miss a write or end as errors.
TEST_CASE("a watch reports the next write, or nothing after its wait") {
  Fixture f;
  CHECK(f.Wait<StoreItem>([&](auto done) {
           f.client.watch("k", Version(), milliseconds(50), done);
         })->version == Version());
  std::optional<Result<StoreItem>> seen;
  f.client.watch("k", Version(), seconds(5),
                 [&](Result<StoreItem> r) { seen = std::move(r); });
  f.context.run_for(milliseconds(50));
  CHECK(f.Put("k", "v", Version()) == Version(1));
  while (!seen) f.context.run_one();
  REQUIRE(seen->has_value());
  CHECK((*seen)->value == "v");
}

// Guards against a lost response that is taken for a refusal: the writer must
// find its own write over the real protocol.
TEST_CASE("a lost response over HTTP is resolved by reading back") {
  Fixture f;
  f.Admin("POST", "/admin/lose?writes=1");
  CHECK(f.Put("direct", "x", Version()).error() == StoreError::kOutcomeUnknown);
  CHECK(f.Get("direct")->version == Version(1));

  f.Admin("POST", "/admin/lose?writes=1");
  CasWriter writer(f.client, f.timers, [](const std::string& value) {
    return std::optional<WriteMark>(WriteMark{value, 1});
  });
  const auto written = f.Wait<Version>([&](auto done) {
    writer.Write({"k", "me", {"me", 1}, Version(), LeaseId()}, done);
  });
  CHECK(written == Version(1));
  CHECK(f.server.model().counter().count(StoreCallKind::kPut).started == 2);
}

// Guards against faults that the admin paths do not really inject.
TEST_CASE("the admin paths make the store down, slow and limited") {
  Fixture f;
  f.Admin("POST", "/admin/down?on=1");
  CHECK(f.Put("k", "v", Version()).error() == StoreError::kUnavailable);
  f.Admin("POST", "/admin/down?on=0");
  f.Admin("POST", "/admin/latency?ms=400");
  CHECK(f.Wait<StoreItem>([&](auto done) {
           f.client.get("k", milliseconds(100), done);
         }).error() == StoreError::kUnavailable);
  CHECK(f.Wait<Version>([&](auto done) {
           f.client.put("k", "v", Version(), LeaseId(), milliseconds(100),
                        done);
         }).error() == StoreError::kOutcomeUnknown);
  f.Admin("POST", "/admin/latency?ms=0");
  CHECK(f.Get("k")->version == Version(1));
  f.Admin("POST", "/admin/rates?writes=1&reads=2000");
  f.Put("k", "w", Version(1));
  CHECK(f.Put("k", "x", Version(2)).error() == StoreError::kRateLimited);
  CHECK(f.Admin("POST", "/admin/down?on=7").status == 400);
  CHECK(f.Admin("POST", "/admin/nothing").status == 404);
  const std::string counters = f.Admin("GET", "/admin/counters").body;
  CHECK(counters.find("\"rate_limited\":1") != std::string::npos);
}

// Guards against a server that ends or blocks on a malformed call.
TEST_CASE("malformed calls get an error") {
  Fixture f;
  for (const char* path :
       {"/v1/kv/k", "/v1/kv/k?expect=x", "/v1/kv/k?expect=-1", "/v1/kv/%zz"}) {
    CAPTURE(path);
    CHECK(f.Admin("PUT", path).status == 400);
  }
  CHECK(f.Admin("GET", "/v1/watch/k?after=0").status == 400);
  CHECK(f.Admin("POST", "/v1/leases?ttl_ms=0").status == 400);
  CHECK(f.Admin("GET", "/nothing").status == 404);
  CHECK(f.Put("k", std::string((1 << 20) + 1, 'x'), Version()).error() ==
        StoreError::kOutcomeUnknown);
  CHECK(f.Get("k").error() == StoreError::kNotFound);
}

// Guards against a closed port that is taken for an unknown outcome.
TEST_CASE("a store that does not listen is unavailable") {
  asio::io_context context;
  HttpClient http(context);
  const StoreClient client = HttpStoreClient(http, "http://127.0.0.1:1");
  std::optional<Result<Version>> result;
  client.put("k", "v", Version(), LeaseId(), seconds(5),
             [&](const Result<Version>& r) { result = r; });
  while (!result) context.run_one();
  CHECK(result->error() == StoreError::kUnavailable);
}

// Guards against two stand-ins of the store that behave differently: the model
// of this server and the in-memory fake of libs/testing.
TEST_CASE("the model agrees with the in-memory fake") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    VirtualTimerService world;
    testing::FakeStore fake(world);
    testing::FakeProcess process("p", world);
    fake.set_latency(Duration(0));
    const StoreClient client = fake.ClientFor(process);
    StoreModel model(world, {0, 0});
    std::vector<LeaseId> leases = {LeaseId(), LeaseId("none")};
    for (int i = 0; i < 80; ++i) {
      const std::string key = "k" + std::to_string(random.Below(3));
      const Version expect(random.Below(4) == 0 ? random.Below(9)
                                                : model.version(key).value());
      const LeaseId lease = leases[random.Below(leases.size())];
      std::optional<Result<Version>> version;
      std::optional<Result<LeaseId>> held;
      const auto keep_version = [&](const Result<Version>& r) { version = r; };
      const auto keep_lease = [&](const Result<LeaseId>& r) { held = r; };
      switch (random.Below(6)) {
        case 0:
          client.erase(key, expect, seconds(1), keep_version);
          world.Advance(Duration(0));
          RC_ASSERT((*version == model.Erase(key, expect)));
          break;
        case 1:
          client.grant_lease(seconds(3), seconds(1), keep_lease);
          world.Advance(Duration(0));
          RC_ASSERT((*held == model.Grant(seconds(3))));
          leases.push_back(**held);
          break;
        case 2:
          client.renew_lease(lease, seconds(1), keep_lease);
          world.Advance(Duration(0));
          RC_ASSERT((*held == model.Renew(lease)));
          break;
        case 3:
          world.Advance(milliseconds(random.Below(2'000)));
          break;
        default:
          client.put(key, std::to_string(i), expect, lease, seconds(1),
                     keep_version);
          world.Advance(Duration(0));
          RC_ASSERT(
              (*version == model.Put(key, std::to_string(i), expect, lease)));
      }
      for (const char* k : {"k0", "k1", "k2"})
        RC_ASSERT(model.version(k) == fake.Read(k).version);
    }
  }));
}

}  // namespace
}  // namespace pomelomill
