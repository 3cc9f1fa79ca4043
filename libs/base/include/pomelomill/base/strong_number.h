#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace pomelomill {

/// A counter that cannot be confused with a counter of another kind. Zero
/// means "none yet".
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }

  /// The successor of this number.
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  // clang-tidy 14 takes the 0 of the rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const StrongNumber&) const = default;

  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) {
    return out << n.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace pomelomill

template <typename Tag>
struct std::hash<pomelomill::StrongNumber<Tag>> {
  std::size_t operator()(pomelomill::StrongNumber<Tag> n) const noexcept {
    return std::hash<std::uint64_t>{}(n.value());
  }
};
