#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "declarations_generator.h"
#include "pomelomill/config.h"

namespace pomelomill {
namespace {

// Guards against a value that the canonical text loses, rounds or prints in a
// form that the parser refuses.
TEST_CASE("a parse of canonical text gives the same declarations") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const Declarations declarations = RandomDeclarations(random);
    const std::string text = CanonicalText(declarations);
    const auto parsed = Parse(text, "canonical");
    if (!parsed) RC_FAIL(ToText(parsed.error()) + text);
    RC_ASSERT(*parsed == declarations);
    RC_ASSERT(CanonicalText(*parsed) == text);
  }));
}

// Guards against a crash on malformed input, a refusal without a reason, and
// text that is accepted although its canonical form means something else.
TEST_CASE("damaged text is refused with reasons or accepted as a whole") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    std::string text = CanonicalText(RandomDeclarations(random));
    for (std::uint64_t n = 1 + random.Below(5); n-- > 0;) {
      const std::size_t at = random.Below(text.size() + 1);
      const std::size_t length = random.Below(30);
      constexpr std::string_view kBytes =
          "[]=;#:\n\r\t \0\xEF\xBB\xBF"
          "09az/";
      switch (random.Below(3)) {
        case 0:
          text.erase(at, length);
          break;
        case 1:
          text.insert(at, 1, kBytes[random.Below(kBytes.size())]);
          break;
        default:
          text.insert(at, text.substr(random.Below(text.size() + 1), length));
      }
    }
    const auto parsed = Parse(text, "damaged");
    if (parsed) {
      const auto again = Parse(CanonicalText(*parsed), "canonical");
      if (!again) RC_FAIL(ToText(again.error()) + text);
      RC_ASSERT(*again == *parsed);
      return;
    }
    RC_ASSERT(!parsed.error().empty());
    const auto lines = static_cast<std::size_t>(
        std::count(text.begin(), text.end(), '\n') + 1);
    for (const Diagnostic& it : parsed.error()) {
      RC_ASSERT(!it.reason.empty());
      RC_ASSERT(it.line <= lines);
    }
  }));
}

// Guards against a difference that misses a changed section or names an equal
// one: removing one section must give exactly that section.
TEST_CASE("the difference of two files is exactly their unequal sections") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const Declarations a = RandomDeclarations(random);
    const Declarations b = RandomDeclarations(random);
    RC_ASSERT(Diff(a, a).empty());
    const std::vector<SectionChange> forward = Diff(a, b);
    const std::vector<SectionChange> back = Diff(b, a);
    RC_ASSERT(forward.size() == back.size());
    for (SectionChange it : forward) {
      if (it.change != Change::kChanged) {
        it.change =
            it.change == Change::kAdded ? Change::kRemoved : Change::kAdded;
      }
      RC_ASSERT(std::find(back.begin(), back.end(), it) != back.end());
    }
    Declarations c = a;
    if (a.maintenance.empty()) return;
    const WaveId id = a.maintenance.begin()->first;
    c.maintenance.erase(id);
    const std::vector<SectionChange> one = Diff(a, c);
    RC_ASSERT(one.size() == 1U);
    RC_ASSERT(one[0].section == "[maintenance " + id.value() + ']');
    RC_ASSERT(one[0].change == Change::kRemoved);
  }));
}

// Guards against a configuration that reverts: whatever the order of offers,
// the highest revision stays in force.
TEST_CASE("the revision in force never falls") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& revisions) {
    ConfigState state;
    std::uint64_t highest = 0;
    for (const std::uint8_t it : revisions) {
      ConfigRecord record;
      record.revision = Revision(it % 8U);
      record.text = "[fleet]\nname = r" + std::to_string(it % 16U) + "\n";
      const auto offered = state.Offer(record);
      if (it % 8U > highest) {
        RC_ASSERT(offered.has_value());
        RC_ASSERT(*offered);
        highest = it % 8U;
      } else {
        RC_ASSERT((!offered || !*offered));
      }
      RC_ASSERT(state.revision() == Revision(highest));
    }
  }));
}

// Guards against a partial record, and against a record in force whose text
// does not parse.
TEST_CASE("malformed records are refused") {
  ConfigRecord record;
  record.revision = Revision(3);
  record.author = "ana";
  record.apply_id = ApplyId("a-1");
  record.writer = "w";
  record.sequence = 9;
  record.applied_at = "2026-01-01T00:00:00Z";
  record.text = "[fleet]\nname = x\n";
  record.earlier = {{ApplyId("a-0"), Revision(2), 0xFFFFFFFFFFFFFFFFULL}};
  const auto read = ReadConfigRecord(ToJson(record));
  REQUIRE(read);
  CHECK(*read == record);
  for (const std::string bad :
       {"", "null", "{}", "[1]", "{\"revision\": -1}", "{\"revision\": 1}"})
    CHECK(ReadConfigRecord(bad).error() == ConfigError::kMalformedRecord);

  // Guards against a list of applies that grows without bound.
  ConfigRecord next = record;
  for (int i = 0; i < 100; ++i) {
    next.earlier = AppliesUpTo(next);
    next.revision = next.revision.Next();
  }
  CHECK(next.earlier.size() == kMaxRememberedApplies);
  CHECK(next.earlier.front().revision == Revision(102));

  ConfigState state;
  CHECK(state.Offer(record).value());
  ConfigRecord other = record;
  other.text = "[fleet]\nname = y\n";
  CHECK(state.Offer(other).error() == ConfigError::kRevisionConflict);
  other.revision = Revision(4);
  other.text = "nonsense";
  CHECK(state.Offer(other).error() == ConfigError::kMalformed);
  CHECK(state.record() == record);
  CHECK(state.declarations()->fleet.name == "x");
}

}  // namespace
}  // namespace pomelomill
