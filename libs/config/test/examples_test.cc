#include <doctest/doctest.h>

#include <set>
#include <string>

#include "pomelomill/config.h"

namespace pomelomill {
namespace {

// Guards against example files that the parser refuses, or that differ from
// the deployments of section 1 of the design page.
TEST_CASE("the example files hold the two deployments") {
  for (const std::string name : {"banderuole", "etiketa"}) {
    CAPTURE(name);
    const std::string path =
        std::string(POMELOMILL_SOURCE_DIR) + "/examples/" + name + ".ini";
    const auto text = ReadFile(path);
    REQUIRE(text);
    const auto parsed = Parse(*text, path);
    REQUIRE_MESSAGE(parsed, ToText(parsed.error()));
    CHECK(parsed->fleet.name == name);
    CHECK(parsed->fleet.rack_size == 4);
    REQUIRE(parsed->fleet.regions.size() == 1);
    CHECK(parsed->fleet.zones.at(parsed->fleet.regions[0]).size() == 3);
    CHECK(parsed->pools.size() == 5);
    std::multiset<std::uint32_t> sizes;
    for (const auto& it : parsed->pools) {
      const PoolDeclaration& pool = it.second;
      CAPTURE(pool.id.value());
      sizes.insert(pool.size);
      CHECK(pool.vms.size() == pool.size);
      CHECK(pool.slots == 8);
      CHECK(pool.connections == 64);
      CHECK(pool.is_spare == (pool.size == 8));

      double load = 0;
      std::size_t queues = 0;
      for (const auto& [queue_id, queue] : parsed->queues) {
        if (parsed->services.at(queue.service).pool != pool.id) continue;
        ++queues;
        load += queue.mean_rate * ToSeconds(queue.service_time);
        const std::string& full = queue_id.value();
        const std::string queue_name = full.substr(full.find('/') + 1);
        if (queue_name == "order" || queue_name == "commission")
          CHECK_FALSE(queue.is_repeatable);
      }
      CHECK(queues >= 2);
      // At its peak a pool's load is five times the mean and exceeds the pool.
      const double slots = static_cast<double>(pool.size) * pool.slots;
      CHECK(load < 0.5 * slots);
      if (!pool.is_spare) CHECK(5 * load > slots);
    }
    CHECK(sizes == std::multiset<std::uint32_t>{8, 9, 9, 11, 12});
    const auto again = Parse(CanonicalText(*parsed), "canonical");
    REQUIRE(again);
    CHECK(*again == *parsed);
  }
}

}  // namespace
}  // namespace pomelomill
