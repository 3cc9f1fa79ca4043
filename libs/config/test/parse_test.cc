#include <doctest/doctest.h>

#include <string>

#include "pomelomill/config.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr const char* kSmallFile = R"(; a comment
[fleet]
name = small

[region north]
zones = north-a north-b

[pool render]
region = north
size = 3
vms = vm-1 vm-2   ; an inline comment
  vm-3

[service proofs]
pool = render

[queue proofs/sheet]
deadline = 250ms
service_time = 40ms
availability = 0.995

[maintenance kernel]
every = 6w
deadline = 04:00
)";

// Guards against values that are read into the wrong field or unit.
TEST_CASE("a valid file gives its declarations") {
  const auto parsed = Parse(kSmallFile, "small.ini");
  REQUIRE_MESSAGE(parsed, ToText(parsed.error()));
  CHECK(parsed->fleet.name == "small");
  CHECK(parsed->fleet.zones.at(RegionId("north")).size() == 2);
  const PoolDeclaration& pool = parsed->pools.at(PoolId("render"));
  CHECK(pool.size == 3);
  CHECK(pool.vms ==
        std::vector<VmId>{VmId("vm-1"), VmId("vm-2"), VmId("vm-3")});
  const QueueDeclaration& queue = parsed->queues.at(QueueId("proofs/sheet"));
  CHECK(queue.service == ServiceId("proofs"));
  CHECK(queue.deadline == milliseconds(250));
  CHECK(queue.availability == 0.995);
  const auto& wave = parsed->maintenance.at(WaveId("kernel"));
  CHECK(wave.every == hours(6 * 7 * 24));
  CHECK(wave.deadline_minute == 240);
}

// Guards against a canonical text that loses or changes a value.
TEST_CASE("a parse of the canonical text gives the same declarations") {
  const auto parsed = Parse(kSmallFile, "small.ini");
  REQUIRE(parsed);
  const std::string text = CanonicalText(*parsed);
  const auto again = Parse(text, "canonical");
  REQUIRE_MESSAGE(again, ToText(again.error()));
  CHECK(*again == *parsed);
  CHECK(CanonicalText(*again) == text);
}

// Guards against a file larger than the store's values being read at all.
TEST_CASE("a text above 1 MiB is refused") {
  const auto parsed = Parse(std::string((1 << 20) + 1, '\n'), "big.ini");
  REQUIRE(!parsed);
  CHECK(ToText(parsed.error()) == "big.ini: the file is larger than 1 MiB\n");
}

// Guards against conflict reports that name unchanged sections.
TEST_CASE("a difference names the sections that differ") {
  const auto parsed = Parse(kSmallFile, "small.ini");
  REQUIRE(parsed);
  Declarations other = *parsed;
  other.pools.at(PoolId("render")).size = 4;
  other.maintenance.clear();
  other.teams[TeamId("press")].id = TeamId("press");
  CHECK(Diff(*parsed, *parsed).empty());
  CHECK(Diff(*parsed, other) ==
        std::vector<SectionChange>{{"[pool render]", Change::kChanged},
                                   {"[maintenance kernel]", Change::kRemoved},
                                   {"[team press]", Change::kAdded}});
}

}  // namespace
}  // namespace pomelomill
