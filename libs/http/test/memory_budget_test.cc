#include "pomelomill/http/memory_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace pomelomill {
namespace {

/// Accounts of one budget that record the order in which they are dropped.
struct Accounts {
  explicit Accounts(std::size_t limit, int count)
      : budget(std::make_shared<MemoryBudget>(limit)) {
    for (int i = 0; i < count; ++i) {
      accounts.push_back(
          std::make_unique<MemoryBudget::Account>(budget, [this, i] {
            dropped.push_back(i);
            accounts[i]->SetIncomplete(0);
          }));
    }
  }
  MemoryBudget::Account& operator[](int i) { return *accounts[i]; }

  std::shared_ptr<MemoryBudget> budget;
  std::vector<int> dropped;
  std::vector<std::unique_ptr<MemoryBudget::Account>> accounts;
};

// Guards against small requests of ordinary callers that are dropped while
// larger ones stay.
TEST_CASE("the largest incomplete request is dropped first") {
  Accounts it(100, 4);
  CHECK(it[0].SetIncomplete(20));
  CHECK(it[1].SetIncomplete(50));
  CHECK(it[2].SetIncomplete(30));
  CHECK(it[3].SetIncomplete(60));
  CHECK(it.dropped == std::vector<int>{1, 2});
  CHECK(it.budget->held() == 80);
}

// Guards against a crowd of equal requests that keeps out those that come
// after it.
TEST_CASE("among equal incomplete requests the oldest is dropped first") {
  Accounts it(90, 4);
  for (int i = 0; i < 3; ++i) CHECK(it[i].SetIncomplete(30));
  CHECK(it[0].SetIncomplete(20));
  CHECK(it[0].SetIncomplete(30));
  CHECK(it[3].SetIncomplete(30));
  CHECK(it.dropped == std::vector<int>{0});
}

// Guards against a crowd of stalled requests of medium size that has the larger
// request of an ordinary caller dropped as it arrives.
TEST_CASE("a request that has stalled is dropped before one that grows") {
  Accounts it(100, 4);
  CHECK(it[0].SetIncomplete(10));
  CHECK(it[1].SetIncomplete(20));
  for (int i = 1; i <= 70; ++i) CHECK(it[2].SetIncomplete(i));
  CHECK(it[3].SetIncomplete(20));
  CHECK(it.dropped == std::vector<int>{1});
}

// Guards against complete requests that are dropped for new ones: their callers
// would wait for responses in vain.
TEST_CASE("what is kept is never dropped") {
  Accounts it(100, 3);
  CHECK(it[0].SetKept(70));
  CHECK(it[1].SetIncomplete(30));
  CHECK_FALSE(it[2].SetIncomplete(40));
  CHECK(it.dropped == std::vector<int>{1});
  CHECK(it[2].incomplete() == 0);
  CHECK_FALSE(it[0].SetKept(101));
  CHECK(it[0].kept() == 70);
  CHECK(it.budget->held() == 70);
}

TEST_CASE("an account that ends gives back what it holds") {
  Accounts it(100, 2);
  CHECK(it[0].SetKept(40));
  CHECK(it[0].SetIncomplete(40));
  it.accounts[0].reset();
  CHECK(it.budget->held() == 0);
  CHECK(it[1].SetKept(100));
}

}  // namespace
}  // namespace pomelomill
