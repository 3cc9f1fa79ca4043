#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "exit_code.h"
#include "http_call.h"
#include "pomelomill/config.h"
#include "region_fixture.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// The words in [a-z_]+ that follow each `start`.
std::set<std::string> NamesAfter(const std::string& text,
                                 const std::string& start) {
  std::set<std::string> names;
  for (auto at = text.find(start); at != std::string::npos;
       at = text.find(start, at + 1)) {
    const auto begin = at + start.size();
    const auto end =
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_", begin);
    names.insert(text.substr(begin, end - begin));
  }
  return names;
}

/// An address that nothing listens on: port 1 of loopback.
const std::string kNoEntry = "127.0.0.1:1";

Json StatusOf(const EntryProcess& entry) {
  const CommandOutcome status =
      RunCommandHere({"status", "--entry", entry.admin(), "--json"});
  const Json json = Json::parse(status.out, nullptr, false);
  return status.code == kExitOk && json.is_object() ? json : Json::object();
}

/// A running region of two ready entries with a configuration in force.
struct Region {
  Region() {
    a = std::make_unique<EntryProcess>(folder, servers, "entry-a",
                                       std::vector<std::string>());
    b = std::make_unique<EntryProcess>(folder, servers, "entry-b",
                                       std::vector<std::string>{a->peers()});
    applied = Apply({"--timeout-s", "60"});
    REQUIRE_MESSAGE(applied.code == kExitOk, applied.err);
    REQUIRE(Eventually([&] { return a->is_ready() && b->is_ready(); }));
  }

  CommandOutcome Apply(const std::vector<std::string>& more) const {
    std::vector<std::string> arguments = {
        "apply",   folder.Write("fleet.ini", RegionDeclarations()),
        "--store", servers.store_url(),
        "--wait",  "--entry",
        a->admin()};
    if (b != nullptr)
      arguments.insert(arguments.end(), {"--entry", b->admin()});
    arguments.insert(arguments.end(), more.begin(), more.end());
    return RunCommandHere(arguments);
  }

  RegionServers servers;
  TemporaryFolder folder;
  std::unique_ptr<EntryProcess> a;
  std::unique_ptr<EntryProcess> b;
  CommandOutcome applied;
};

/// Drains through the entry that does not control the region; true when the
/// other one accepted. The lease may change hands while the machine is busy,
/// so callers ask again.
bool DrainsThroughOther(const Region& region, const std::string& vm,
                        bool is_json) {
  const bool a_holds = StatusOf(*region.a).value("controls_region", false);
  const EntryProcess& other = a_holds ? *region.b : *region.a;
  const EntryProcess& holder = a_holds ? *region.a : *region.b;
  if (StatusOf(other).value("control_admin", "") != holder.admin())
    return false;
  const HttpResult refused = other.Admin("POST", "/-/drain?vm=" + vm);
  if (refused.response.status != 409) return false;
  const std::string id = a_holds ? "entry-a" : "entry-b";
  const Json body = Json::parse(refused.response.body, nullptr, false);
  CHECK(body.value("control_entry", "") == id);
  CHECK(body.value("control_admin", "") == holder.admin());
  CHECK(Has(body.value("error", ""),
            "the holder is " + id + " at " + holder.admin()));

  std::vector<std::string> arguments = {"drain", vm, "--entry", other.admin()};
  if (is_json) arguments.push_back("--json");
  const CommandOutcome drained = RunCommandHere(arguments);
  if (drained.code != kExitOk) return false;
  if (is_json) {
    CHECK(Json::parse(drained.out) == Json{{"accepted", true}, {"entry", id}});
  } else {
    CHECK(Has(drained.out, "drain of " + vm + " accepted\n"));
    CHECK(Has(drained.out, "entry: " + id + "\n"));
  }
  CHECK(drained.err.empty());
  return true;
}

std::uint64_t GenerationOf(const Region& region, const std::string& vm) {
  const Json status = StatusOf(*region.a);
  if (!status.contains("region")) return 0;
  for (const Json& it : status["region"]["vms"]) {
    if (it["vm"] == vm && it["phase"] == "active") return it["generation"];
  }
  return 0;
}

// Guards against commands that do not work against a real entry although each
// side agrees with its own tests.
TEST_CASE("status, explain, apply and drain work against running entries") {
  Region region;
  CHECK(Has(region.applied.out, "accepted as revision 1, apply id "));
  CHECK(Has(region.applied.out, "in force on 2 entries after "));

  SUBCASE("status shows the entry, its region and who controls it") {
    REQUIRE(Eventually([&] {
      const Json a = StatusOf(*region.a);
      const Json b = StatusOf(*region.b);
      return a["controls_region"] != b["controls_region"] &&
             a["control_entry"] == b["control_entry"] &&
             a["control_admin"] == b["control_admin"] &&
             !a.value("control_admin", std::string()).empty() &&
             a["ready"] == true;
    }));
    const Json status = StatusOf(*region.a);
    CHECK(status["entry"] == "entry-a");
    CHECK(status["config_revision"] == 1);
    CHECK(status["region"]["pools"]["proofs"]["vms"] == 2);
    CHECK(status["queues"].contains("proof/layout"));
    const CommandOutcome text =
        RunCommandHere({"status", "--entry", region.a->admin()});
    CHECK(text.code == kExitOk);
    CHECK(text.out.starts_with("config_revision: 1\n"));
    CHECK(Has(text.out, "\ncontrol_entry: entry-"));
    CHECK(text.err.empty());
  }

  SUBCASE("explain reports the decisions of the entry in control") {
    REQUIRE(Eventually([&] {
      const bool a_holds = StatusOf(*region.a).value("controls_region", false);
      const EntryProcess& holder = a_holds ? *region.a : *region.b;
      const CommandOutcome json = RunCommandHere(
          {"explain", "vm", "lom-01", "--entry", holder.admin(), "--json"});
      const CommandOutcome text = RunCommandHere(
          {"explain", "vm", "lom-01", "--entry", holder.admin()});
      return json.code == kExitOk && text.code == kExitOk &&
             Has(json.out, "\"choice\":\"adopt\"") &&
             Has(text.out, " adopt: the VM list shows a new VM\n");
    }));
    const CommandOutcome nothing = RunCommandHere(
        {"explain", "vm", "nothing", "--entry", region.a->admin()});
    CHECK(nothing.code == kExitOk);
    CHECK(nothing.out == "no decisions on vm nothing\n");
  }

  SUBCASE("drain follows to the entry in control and the VM returns") {
    REQUIRE(Eventually(
        [&] { return DrainsThroughOther(region, "lom-01", false); }));
    REQUIRE(Eventually([&] { return GenerationOf(region, "lom-01") == 2; }));
    REQUIRE(
        Eventually([&] { return DrainsThroughOther(region, "lom-03", true); }));
    REQUIRE(Eventually([&] { return GenerationOf(region, "lom-03") == 2; }));
    CHECK(region.servers.reboots() == 2);
  }

  SUBCASE("drain of an unknown VM fails without effect") {
    for (const EntryProcess* entry : {region.a.get(), region.b.get()}) {
      CommandOutcome unknown;
      REQUIRE(Eventually([&] {
        unknown =
            RunCommandHere({"drain", "lom-99", "--entry", entry->admin()});
        return Has(unknown.err, "response 404");
      }));
      CHECK(unknown.code == kExitFailed);
      CHECK(Has(unknown.err, "the VM is not in the region state"));
      CHECK(unknown.out.empty());
    }
    CHECK(region.servers.reboots() == 0);
  }

  SUBCASE("apply --wait names the entry on which it is not in force") {
    const CommandOutcome again =
        region.Apply({"--entry", kNoEntry, "--timeout-s", "2"});
    CHECK(again.code == kExitNotInForce);
    CHECK(Has(again.out, "accepted as revision 2"));
    CHECK(Has(again.err, "revision 2 is not in force on " + kNoEntry + "\n"));
    const CommandOutcome json = region.Apply({"--json", "--timeout-s", "60"});
    CHECK(json.code == kExitOk);
    CHECK(Json::parse(json.out)["revision"] == 3);
  }

  SUBCASE("the metrics page and the operators' page have the same metrics") {
    // Requests are not run while the entry's slot share has not grown yet.
    REQUIRE(Eventually([&] {
      return region.a->Call("/proof/layout/1").response.status == 200;
    }));
    std::string text;
    REQUIRE(Eventually([&] {
      const HttpResult page = region.a->Admin("GET", "/-/metrics");
      text = page.response.body;
      return page.response.status == 200 &&
             !Has(text, "pomelomill_send_permit_seconds 0\n");
    }));
    CAPTURE(text);
    CHECK(Has(text,
              "pomelomill_requests_total{queue=\"proof/layout\",team=\"none\","
              "outcome=\"answered\",reason=\"complete\"} 1\n"));
    CHECK(Has(text, "pomelomill_pool_free_slots{pool=\"proofs\"} "));
    CHECK(Has(text, "pomelomill_pool_ejected_endpoints{pool=\"files\"} 0\n"));
    CHECK(Has(text, "pomelomill_config_revision 1\n"));
    const std::string granted =
        "pomelomill_store_calls_total{kind=\"grant_lease\","
        "result=\"succeeded\"} ";
    CHECK(Has(text, granted));
    CHECK_FALSE(Has(text, granted + "0\n"));
    const std::string documented =
        ReadFile(std::string(POMELOMILL_SOURCE_DIR) + "/docs/operators.md")
            .value();
    const auto documented_names = NamesAfter(documented, "| `pomelomill_");
    CHECK(NamesAfter(text, "# TYPE pomelomill_") == documented_names);
    CHECK(documented_names.size() == 11);
  }

  SUBCASE("the log and the end of an entry") {
    const auto has_line = [&](const std::string& text) {
      return Has(region.a->log(), text) || Has(region.b->log(), text);
    };
    CHECK(Has(region.a->log(), "info [app] started as entry-a."));
    CHECK(Has(region.a->log(), "admin " + region.a->admin()));
    for (const char* line :
         {"info [control] configuration revision 1 in force",
          "info [control] control lease taken",
          "info [membership] send permit gained by lease",
          "info [membership] slot shares changed to entry-"}) {
      CAPTURE(line);
      CHECK(Eventually([&] { return has_line(line); }));
    }
    CHECK(region.b->Stop() == 0);
    CHECK(Has(region.b->log(), "info [app] stopping\n"));
    CHECK(Has(region.b->log(), "info [app] stopped\n"));
  }
}

// Guards against an entry without a store that seems ready, and against
// commands that report success there.
TEST_CASE("commands at an entry that is not ready") {
  RegionServers servers;
  TemporaryFolder folder;
  const auto set_down = [&](const char* on) {
    const HttpResult result =
        CallAndWait({.method = "POST",
                     .url = servers.store_url() + "/admin/down?on=" + on});
    REQUIRE(result.response.status == 200);
  };
  set_down("1");
  EntryProcess entry(folder, servers, "entry-a", {});
  CHECK_FALSE(entry.is_ready());
  const CommandOutcome status =
      RunCommandHere({"status", "--entry", entry.admin()});
  CHECK(status.code == kExitOk);
  CHECK(Has(status.out, "\nready: false\n"));
  const CommandOutcome drain =
      RunCommandHere({"drain", "lom-01", "--entry", entry.admin()});
  CHECK(drain.code == kExitFailed);
  CHECK(Has(drain.err, "response 409"));
  CHECK(Has(drain.err, "no holder is known"));
  for (const char* kind : {"vm", "pool", "wave"}) {
    const CommandOutcome explain = RunCommandHere(
        {"explain", kind, "lom-01", "--entry", entry.admin(), "--json"});
    CHECK(explain.code == kExitOk);
    CHECK(Json::parse(explain.out)["decisions"].empty());
  }
  const std::string file = folder.Write("fleet.ini", RegionDeclarations());
  const std::vector<std::string> apply = {
      "apply",  file,      "--store",     servers.store_url(),
      "--wait", "--entry", entry.admin(), "--timeout-s",
      "60"};
  const CommandOutcome refused = RunCommandHere(apply);
  CHECK(refused.code == kExitUnavailable);
  CHECK(Has(refused.err, "nothing was written"));
  CHECK(Eventually(
      [&] { return Has(entry.log(), "warning [store] store unreachable\n"); }));

  set_down("0");
  CHECK(RunCommandHere(apply).code == kExitOk);
  CHECK(Eventually([&] { return entry.is_ready(); }));
  CHECK(Eventually([&] {
    return Has(entry.log(), "info [store] store reachable again\n");
  }));
}

}  // namespace
}  // namespace pomelomill
