#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

#include "pomelomill/config.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

std::string ReadSource(const std::string& name) {
  std::ifstream file(std::string(POMELOMILL_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

constexpr const char* kLeast =
    "[entry]\nid = e\nzone = z\n[listen]\ncallers = 127.0.0.1:1\n"
    "ready = 127.0.0.1:2\npeers = 127.0.0.1:3\n"
    "[store]\naddress = 127.0.0.1:4\n";

}  // namespace

TEST_CASE("the example is valid and states the defaults") {
  const auto settings =
      ParseJobServiceSettings(ReadSource("examples/dispatch.ini"), "f");
  REQUIRE(settings);
  const auto least = ParseJobServiceSettings(kLeast, "f");
  REQUIRE(least);
  CHECK(settings->entry_lease == least->entry_lease);
  CHECK(settings->lease_margin == least->lease_margin);
  CHECK(settings->order_grace == least->order_grace);
  CHECK(settings->task_lease == least->task_lease);
  CHECK(settings->stop_grace == least->stop_grace);
}

TEST_CASE("each error is reported with its line") {
  for (const auto& row : std::vector<std::pair<std::string, int>>{
           {"[lease]\nentry = 0s\n", 11},
           {"[lease]\nentry = 1s\nmargin = 500ms\n", 12},
           {"[lease]\nlength = 1s\n", 11},
           {"[unknown]\nx = 1\n", 10},
           {"[log]\nlevel = loud\n", 11},
           {"[resources]\ncpu_share = 0\n", 11},
           {"[resources]\ncpu_share = 1.5\n", 11},
           {"[resources]\ncores = many\n", 11},
           {"[resources]\nmemory_mb = -1\n", 11},
           {"[resources]\nlink_mbps = 0\n", 11},
           {"[resources]\nlink = 10\n", 11},
           {"[requests]\nmemory_mb = 7\n", 11},
           {"[requests]\nmemory_mb = 257\n", 10},
           {"[requests]\nconnections = 15\n", 11},
           {"[requests]\nbodies = 1\n", 11},
           {"[entry]\nid = twice\n", 10}}) {
    const std::string& text = row.first;
    const int line = row.second;
    CAPTURE(text);
    const auto settings = ParseJobServiceSettings(kLeast + text, "f");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().front().line == static_cast<std::size_t>(line));
  }
  const auto empty = ParseJobServiceSettings("", "f");
  REQUIRE_FALSE(empty);
  CHECK(empty.error().size() == 3);
}

// Guards against a budget that leaves no memory to the rest of a small process,
// or no room for bodies at the limit.
TEST_CASE("the memory of open requests follows the memory of the process") {
  const auto memory = [](const std::string& text) {
    const auto settings = ParseJobServiceSettings(kLeast + text, "f");
    REQUIRE(settings);
    return settings->request_memory_mb();
  };
  CHECK(memory("") == 128);
  CHECK(memory("[resources]\nmemory_mb = 160\n") == 40);
  CHECK(memory("[resources]\nmemory_mb = 16\n") == 8);
  CHECK(memory("[resources]\nmemory_mb = 160\n[requests]\nmemory_mb = 64\n"
               "connections = 300\n") == 64);
}

TEST_CASE("the template of the deploy file gives valid settings") {
  // The platform fills the placeholders; a wrong key would stop every entry.
  std::string text = ReadSource("deploy/settings.ini.in");
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"node", "front-a-1"},
           {"zone", "lom-a"},
           {"bounds.graceS", "6"},
           {"listen.front", "10.1.0.9:8624"},
           {"listen.ready", "10.1.0.9:8622"},
           {"ip", "10.1.0.9"},
           {"internalPorts.0", "7060"},
           {"platform.addr", "10.200.1.7:8621"},
           {"cloud.addr", "10.200.0.107:8621"},
           {"limits.cpuShare", "0.12"},
           {"limits.cores", "2"},
           {"limits.memoryMb", "160"},
           {"limits.linkMbps", "10.0"}}) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder))
      text.replace(at, placeholder.size(), value);
  }
  CAPTURE(text);
  const auto settings = ParseJobServiceSettings(text, "f");
  REQUIRE(settings);
  CHECK(settings->entry == EntryId("front-a-1"));
  CHECK(settings->stop_grace == seconds(6));
  CHECK(settings->peer_address == "10.1.0.9:7060");
  CHECK(settings->capacity ==
        EntryCapacity{.cpu_cores = 0.24, .memory_mb = 160, .link_mbps = 10});
}

}  // namespace pomelomill
