#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pomelomill {

/// A list of items by key that remembers when each one last changed, so that
/// a peer which has the list up to a sequence is sent only what changed since.
/// Several lists that travel in one message share one sequence.
template <typename Key, typename Value>
class ChangeList {
 public:
  struct Item {
    Value value;
    std::uint64_t sequence = 0;
  };

  /// Stores the item; `sequence` is the number of this change, higher than
  /// those of all earlier changes. False when the value is the same as before,
  /// which is no change.
  bool Set(const Key& key, const Value& value, std::uint64_t sequence) {
    const auto it = items_.find(key);
    if (it != items_.end() && it->second.value == value) return false;
    items_[key] = Item{value, sequence};
    return true;
  }

  /// Items that changed after `sequence`.
  std::vector<Item> Since(std::uint64_t sequence) const {
    std::vector<Item> changed;
    for (const auto& [key, item] : items_) {
      if (item.sequence > sequence) changed.push_back(item);
    }
    return changed;
  }

  const Value* Find(const Key& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
  }

  std::size_t size() const { return items_.size(); }

 private:
  std::map<Key, Item> items_;
};

}  // namespace pomelomill
