#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill {
namespace {

// Guards against entries that together use more slots of a VM than it has,
// and against slots that no entry may use.
TEST_CASE("the shares of all entries add up to the slots of each VM") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& weights,
                     std::uint8_t slots, std::uint16_t vm) {
    std::vector<EntryShare> shares;
    std::uint64_t sum = 0;
    for (const std::uint8_t weight : weights) {
      shares.push_back({.entry = EntryId("e" + std::to_string(shares.size())),
                        .incarnation = IncarnationId("i"),
                        .weight = weight});
      sum += weight;
    }
    const VmId id("vm-" + std::to_string(vm));
    std::uint64_t given = 0;
    for (const EntryShare& it : shares) {
      const std::uint32_t share =
          ShareOf(shares, it.entry, it.incarnation, id, slots);
      const double exact = sum == 0 ? 0 : 1.0 * slots * it.weight / sum;
      RC_ASSERT(share <= exact + 1);
      RC_ASSERT(share + 1 >= exact);
      given += share;
    }
    RC_ASSERT(given == (sum == 0 ? 0 : slots));
    RC_ASSERT(ShareOf(shares, EntryId("e0"), IncarnationId("old"), id, slots) ==
              0);
    if (!shares.empty()) {
      const std::uint32_t others =
          sum == 0 ? 0
                   : slots - ShareOf(shares, EntryId("e0"), IncarnationId("i"),
                                     id, slots);
      shares[0].phase = SharePhase::kLeaving;
      std::uint32_t left = 0;
      for (const EntryShare& it : shares) {
        left += ShareOf(shares, it.entry, it.incarnation, id, slots);
      }
      RC_ASSERT(left == others);
    }
  }));
}

// Guards against an entry that uses its share before the previous owner has
// released it, or after the entry itself has released it.
TEST_CASE("joining and leaving entries own no slots") {
  std::vector<EntryShare> shares;
  for (int i = 0; i < 3; ++i) {
    shares.push_back({EntryId("e" + std::to_string(i)), IncarnationId("i"), 1});
  }
  const VmId vm("vm-1");
  const auto share = [&](int i) {
    return ShareOf(shares, shares[i].entry, IncarnationId("i"), vm, 9);
  };
  CHECK(share(1) == 3);
  for (const SharePhase phase : {SharePhase::kJoining, SharePhase::kLeaving}) {
    shares[1].phase = phase;
    CHECK(share(1) == 0);
    CHECK(share(0) == 3);
    CHECK(share(2) == 3);
  }
}

// Guards against entries without any slot in the pool when there are more
// entries than slots per VM.
TEST_CASE("rounding gives every entry a slot on some VM of the pool") {
  std::vector<EntryShare> shares;
  for (int i = 0; i < 16; ++i) {
    shares.push_back({EntryId("e" + std::to_string(i)), IncarnationId("i"), 1});
  }
  for (const EntryShare& it : shares) {
    std::uint32_t sum = 0;
    for (int vm = 0; vm < 12; ++vm) {
      sum += ShareOf(shares, it.entry, it.incarnation,
                     VmId("vm-" + std::to_string(vm)), 8);
    }
    CHECK(sum >= 1);
  }
}

}  // namespace
}  // namespace pomelomill
