#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace pomelomill {

/// A list of items by key that remembers when each one last changed, so that
/// a peer which has the list up to a sequence is sent only what changed since.
/// Several lists that travel in one message share one sequence.
template <typename Key, typename Value>
class ChangeList {
 public:
  /// Stores the item; `sequence` is the number of this change, higher than
  /// those of all earlier changes. An equal value is no change.
  void Set(const Key& key, const Value& value, std::uint64_t sequence) {
    const auto it = items_.find(key);
    if (it != items_.end() && it->second.value == value) return;
    items_[key] = Item{value, sequence};
  }

  /// Items that changed after `sequence`.
  std::vector<Value> Since(std::uint64_t sequence) const {
    std::vector<Value> changed;
    for (const auto& [key, item] : items_) {
      if (item.sequence > sequence) changed.push_back(item.value);
    }
    return changed;
  }

  const Value* Find(const Key& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
  }

  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    Value value;
    std::uint64_t sequence = 0;
  };
  std::map<Key, Item> items_;
};

}  // namespace pomelomill
