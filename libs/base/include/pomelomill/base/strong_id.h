#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pomelomill {

/// A name that cannot be confused with the name of another kind of thing.
/// Two ids with different tags do not compare or convert.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StrongId&) const = default;
  bool operator==(const StrongId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

}  // namespace pomelomill

template <typename Tag>
struct std::hash<pomelomill::StrongId<Tag>> {
  std::size_t operator()(const pomelomill::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
