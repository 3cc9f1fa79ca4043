#include "header_names.h"

#include <algorithm>
#include <array>

namespace pomelomill {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsSameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "Proxy-Authorization",
      "Proxy-Authenticate",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Content-Length"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view it) {
    return IsSameHeaderName(it, name);
  });
}

}  // namespace pomelomill
