#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "exit_code.h"
#include "http_call.h"
#include "region_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

/// Two ready entries with a configuration in force.
struct TwoEntries {
  TwoEntries() {
    a = std::make_unique<EntryProcess>(folder, servers, "entry-a",
                                       std::vector<std::string>());
    b = std::make_unique<EntryProcess>(folder, servers, "entry-b",
                                       std::vector<std::string>{a->peers()});
    const CommandOutcome applied = RunCommandHere(
        {"apply", folder.Write("fleet.ini", RegionDeclarations()), "--store",
         servers.store_url(), "--wait", "--entry", a->admin(), "--entry",
         b->admin()});
    REQUIRE_MESSAGE(applied.code == kExitOk, applied.err);
    REQUIRE(Eventually([&] { return a->is_ready() && b->is_ready(); }));
  }

  RegionServers servers;
  TemporaryFolder folder;
  std::unique_ptr<EntryProcess> a;
  std::unique_ptr<EntryProcess> b;
};

HttpResponse SendKeyed(const EntryProcess& entry, const std::string& key) {
  return CallAndWait({.method = "POST",
                      .url = "http://" + entry.callers() + "/proof/layout/1",
                      .headers = {{"Idempotency-Key", key}},
                      .body = "work",
                      .timeout = seconds(20)})
      .response;
}

std::string IssuedKey(const EntryProcess& entry) {
  const HttpResult result =
      CallAndWait({.method = "POST",
                   .url = "http://" + entry.callers() + "/-/keys?n=1",
                   .timeout = seconds(20)});
  const auto json = nlohmann::json::parse(result.response.body, nullptr, false);
  REQUIRE(json.contains("keys"));
  return json["keys"][0];
}

// Guards against a key that works only at the entry that issued it: the
// message between entries lacked a field, and each forward ended as unknown.
TEST_CASE("a request with a key runs once, whichever entry it reaches") {
  const TwoEntries region;

  SUBCASE("a key that an entry issued") {
    const std::string key = IssuedKey(*region.a);
    const HttpResponse first = SendKeyed(*region.b, key);
    CHECK(first.status == 200);
    CHECK(first.header("Pomelomill-Outcome") == "answered");
    for (const EntryProcess* it : {region.a.get(), region.b.get()}) {
      const HttpResponse repeat = SendKeyed(*it, key);
      CHECK(repeat.status == 409);
      CHECK(repeat.header("Pomelomill-Outcome") == "answered");
    }
  }

  SUBCASE("a key of the caller's own") {
    const HttpResponse first = SendKeyed(*region.a, "order-1");
    CHECK(first.status == 200);
    CHECK(first.header("Pomelomill-Outcome") == "answered");
    // The outcome reaches the claim after the response.
    REQUIRE(Eventually([&] {
      return SendKeyed(*region.b, "order-1").header("Pomelomill-Outcome") ==
             "answered";
    }));
    CHECK(SendKeyed(*region.b, "order-1").status == 409);
  }

  SUBCASE("the issuer has ended") {
    const std::string key = IssuedKey(*region.a);
    CHECK(region.a->Stop() == 0);
    const HttpResponse late = SendKeyed(*region.b, key);
    CHECK(late.status == 504);
    CHECK(late.header("Pomelomill-Outcome") == "unknown");
  }
}

}  // namespace
}  // namespace pomelomill
