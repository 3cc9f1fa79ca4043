#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace pomelomill {

/// Bounds the memory that connections hold for their requests and responses.
/// Shared by the listeners of one thread. Memory of incomplete requests is
/// taken away when another connection needs it; that of complete requests and
/// of responses is not.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// What one connection holds. Until the next call of SetIncomplete or
  /// SetKept, the connection allocates no more than it has stated.
  class Account {
   public:
    /// `drop` frees the incomplete request and calls SetIncomplete(0).
    Account(std::shared_ptr<MemoryBudget> budget, std::function<void()> drop);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// States the memory of a request that is not complete. Returns false, with
    /// the former amount, when it does not fit although the incomplete requests
    /// of all other connections were dropped: first those that have not grown
    /// for a while, each time the largest, and among equal ones the first to
    /// begin.
    bool SetIncomplete(std::size_t bytes);
    /// States the memory of complete requests and of responses; as above.
    bool SetKept(std::size_t bytes);

    std::size_t incomplete() const { return incomplete_; }
    std::size_t kept() const { return kept_; }

   private:
    friend class MemoryBudget;

    const std::shared_ptr<MemoryBudget> budget_;
    const std::function<void()> drop_;
    std::size_t incomplete_ = 0;
    std::size_t kept_ = 0;
    /// Numbers of the growths by which the incomplete request began and grew
    /// last.
    std::uint64_t began_ = 0;
    std::uint64_t grew_ = 0;
  };

  std::size_t limit() const { return limit_; }
  std::size_t held() const { return held_; }

 private:
  struct DropsBefore {
    bool operator()(const Account* a, const Account* b) const;
  };

  /// Returns the account whose incomplete request is dropped next; null when
  /// no account but this one has any.
  Account* FindNextToDrop(const Account& account) const;
  /// Drops incomplete requests until `bytes` more fit.
  bool MakeRoom(const Account& account, std::size_t bytes);

  const std::size_t limit_;
  std::size_t held_ = 0;
  /// Counts the growths of incomplete requests.
  std::uint64_t growths_ = 0;
  /// Accounts with an incomplete request.
  std::set<Account*, DropsBefore> incomplete_;
};

}  // namespace pomelomill
