#include "values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>

namespace pomelomill {
namespace {

struct Unit {
  std::string_view name;
  std::int64_t millis;
};

constexpr std::array<Unit, 6> kUnits = {{{"w", 604'800'000},
                                         {"d", 86'400'000},
                                         {"h", 3'600'000},
                                         {"m", 60'000},
                                         {"s", 1'000},
                                         {"ms", 1}}};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

std::optional<Duration> ReadDuration(std::string_view text) {
  std::int64_t count = 0;
  const char* const end = text.data() + text.size();
  if (text.empty() || !IsDigit(text[0])) return std::nullopt;
  const auto [rest, ec] = std::from_chars(text.data(), end, count);
  if (ec != std::errc()) return std::nullopt;
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : kUnits) {
    if (unit.name != name) continue;
    constexpr std::int64_t kMaxMillis = 100LL * 365 * 86'400'000;
    if (count > kMaxMillis / unit.millis) return std::nullopt;
    return std::chrono::milliseconds(count * unit.millis);
  }
  return std::nullopt;
}

std::string DurationText(Duration duration) {
  const std::int64_t millis = ToMillis(duration);
  if (millis == 0) return "0s";
  for (const Unit& unit : kUnits) {
    if (millis % unit.millis == 0)
      return std::to_string(millis / unit.millis) + std::string(unit.name);
  }
  return std::to_string(millis) + "ms";
}

std::optional<double> ReadNumber(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end || !std::isfinite(number))
    return std::nullopt;
  return number;
}

std::string NumberText(double number) {
  std::array<char, 64> buf{};
  // Fixed notation of other numbers may exceed the buffer.
  const double size = std::abs(number);
  const bool is_fixed = size == 0 || (size >= 1e-9 && size < 1e15);
  const auto [end, ec] = std::to_chars(
      buf.data(), buf.data() + buf.size(), number,
      is_fixed ? std::chars_format::fixed : std::chars_format::scientific);
  return {buf.data(), end};
}

std::optional<std::uint32_t> ReadTimeOfDay(std::string_view text) {
  if (text.size() != 5 || text[2] != ':') return std::nullopt;
  for (const std::size_t i : {0U, 1U, 3U, 4U}) {
    if (!IsDigit(text[i])) return std::nullopt;
  }
  const auto digit = [&](std::size_t i) {
    return static_cast<std::uint32_t>(text[i] - '0');
  };
  const std::uint32_t hour = digit(0) * 10 + digit(1);
  const std::uint32_t minute = digit(3) * 10 + digit(4);
  if (hour > 23 || minute > 59) return std::nullopt;
  return hour * 60 + minute;
}

std::string TimeOfDayText(std::uint32_t minute) {
  const auto two = [](std::uint32_t n) {
    return std::string(n < 10 ? "0" : "") + std::to_string(n);
  };
  return two(minute / 60) + ':' + two(minute % 60);
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 63;
  const auto is_alnum = [](char c) {
    return IsDigit(c) || (c >= 'a' && c <= 'z');
  };
  return !text.empty() && text.size() <= kMaxNameBytes && is_alnum(text[0]) &&
         std::all_of(text.begin(), text.end(), [&](char c) {
           return is_alnum(c) || c == '.' || c == '_' || c == '-';
         });
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (!IsName(host)) return false;
  std::uint32_t number = 0;
  const char* const end = port.data() + port.size();
  const auto [rest, ec] = std::from_chars(port.data(), end, number);
  return ec == std::errc() && rest == end && number >= 1 &&
         number <= std::numeric_limits<std::uint16_t>::max();
}

}  // namespace pomelomill
