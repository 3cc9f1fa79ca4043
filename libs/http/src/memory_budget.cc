#include "pomelomill/http/memory_budget.h"

#include <utility>

namespace pomelomill {
namespace {

/// A request has stalled when others have grown this often since it grew last.
/// A body of 262,144 bytes grows about 32 times.
constexpr std::uint64_t kRecentGrowths = 64;

}  // namespace

MemoryBudget::MemoryBudget(std::size_t limit) : limit_(limit) {}

bool MemoryBudget::DropsBefore::operator()(const Account* a,
                                           const Account* b) const {
  if (a->incomplete_ != b->incomplete_) return a->incomplete_ > b->incomplete_;
  return a->began_ < b->began_;
}

MemoryBudget::Account* MemoryBudget::FindNextToDrop(
    const Account& account) const {
  Account* largest = nullptr;
  for (Account* const it : incomplete_) {
    if (it == &account) continue;
    if (it->grew_ + kRecentGrowths < growths_) return it;
    if (largest == nullptr) largest = it;
  }
  return largest;
}

bool MemoryBudget::MakeRoom(const Account& account, std::size_t bytes) {
  while (bytes > limit_ || held_ > limit_ - bytes) {
    Account* const it = FindNextToDrop(account);
    if (it == nullptr) return false;
    it->drop_();
  }
  return true;
}

MemoryBudget::Account::Account(std::shared_ptr<MemoryBudget> budget,
                               std::function<void()> drop)
    : budget_(std::move(budget)), drop_(std::move(drop)) {}

MemoryBudget::Account::~Account() {
  SetIncomplete(0);
  SetKept(0);
}

bool MemoryBudget::Account::SetIncomplete(std::size_t bytes) {
  if (bytes == incomplete_) return true;
  if (bytes > incomplete_ && !budget_->MakeRoom(*this, bytes - incomplete_))
    return false;
  if (incomplete_ != 0) budget_->incomplete_.erase(this);
  if (bytes > incomplete_) {
    grew_ = ++budget_->growths_;
    if (incomplete_ == 0) began_ = grew_;
  }
  budget_->held_ += bytes;
  budget_->held_ -= incomplete_;
  incomplete_ = bytes;
  if (incomplete_ != 0) budget_->incomplete_.insert(this);
  return true;
}

bool MemoryBudget::Account::SetKept(std::size_t bytes) {
  if (bytes > kept_ && !budget_->MakeRoom(*this, bytes - kept_)) return false;
  budget_->held_ += bytes;
  budget_->held_ -= kept_;
  kept_ = bytes;
  return true;
}

}  // namespace pomelomill
