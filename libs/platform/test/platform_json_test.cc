#include "platform_json.h"

#include <doctest/doctest.h>

#include <string>

#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

// Guards against exceptions and silent defaults on malformed responses.
TEST_CASE("platform responses are read or refused") {
  const std::string vm =
      R"({"id":"vm-1","address":"10.0.0.1:80","zone":"z","rack":"r",)"
      R"("state":"leaving","generation":3)";
  const auto list = ParseVmList(R"({"vms":[)" + vm + "}]}");
  REQUIRE(list.has_value());
  REQUIRE(list->size() == 1);
  CHECK((*list)[0].listing == VmListing::kLeaving);
  CHECK((*list)[0].generation == Generation(3));

  const auto status = ParseVmStatus(
      vm + R"(,"operation":{"intent":"i","op":"reboot","state":"failed"}})");
  REQUIRE(status.has_value());
  CHECK(status->intent == IntentId("i"));
  CHECK(status->operation == OperationState::kFailed);
  CHECK(ParseVmStatus(vm + "}")->operation == OperationState::kNone);

  const auto workers = ParseWorkerList(
      R"({"workers":[{"id":"w","rack":"r","zone":"z","cores":32,)"
      R"("memory_mb":65536,"accelerators":0,"usage":{"cores":1.5},)"
      R"("tasks":["t"]}]})");
  REQUIRE(workers.has_value());
  CHECK((*workers)[0].usage.cores == 1.5);
  CHECK((*workers)[0].tasks.size() == 1);

  for (const std::string& bad :
       {std::string(), std::string("{}"), std::string(R"({"vms":{}})"),
        std::string(R"({"vms":[{}]})"), std::string(R"({"vms":[)") + vm,
        std::string(R"({"vms":[7]})")}) {
    const auto result = ParseVmList(bad);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == PlatformError::kBadResponse);
  }
  CHECK_FALSE(ParseWorkerList(R"({"workers":[{"id":"w"}]})").has_value());
}

}  // namespace
}  // namespace pomelomill
