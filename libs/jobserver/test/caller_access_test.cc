#include "caller_access.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

FleetConfig MakeConfig() {
  FleetConfig config;
  config.requires_keys = true;
  config.api_keys.emplace("secret", WorkspaceId("a"));
  return config;
}

}  // namespace

TEST_CASE("a key names the workspace of a call") {
  const FleetConfig config = MakeConfig();
  const QueueConfig queue;
  CHECK(FindCaller(config, queue, "Bearer secret") == WorkspaceId("a"));
  CHECK(FindCaller(config, queue, "bearer   secret ") == WorkspaceId("a"));
}

TEST_CASE("a call without a known key is rejected") {
  // Guards against calls that run with no key, a withdrawn key, or a part of
  // one.
  FleetConfig config = MakeConfig();
  const QueueConfig queue;
  for (const char* it :
       {"", "Bearer", "Bearer ", "secret", "Basic secret", "Bearer secre",
        "Bearer secret1", "Bearersecret", "Bearer other", "Bearer secret x"}) {
    CAPTURE(it);
    CHECK_FALSE(FindCaller(config, queue, it));
  }
  config.api_keys.clear();
  CHECK_FALSE(FindCaller(config, queue, "Bearer secret"));
}

TEST_CASE("public queues and deployments without workspaces need no key") {
  FleetConfig config = MakeConfig();
  CHECK(FindCaller(config, QueueConfig{.is_public = true}, "") ==
        WorkspaceId());
  config.requires_keys = false;
  CHECK(FindCaller(config, QueueConfig{}, "Bearer unknown") == WorkspaceId());
}

}  // namespace pomelomill
