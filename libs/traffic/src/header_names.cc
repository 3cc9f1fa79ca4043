#include "header_names.h"

#include <algorithm>
#include <array>

#include "pomelomill/http/http_message.h"

namespace pomelomill {
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
