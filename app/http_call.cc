#include "http_call.h"

#include <asio/io_context.hpp>
#include <optional>
#include <utility>

namespace pomelomill {

HttpResult CallAndWait(HttpRequest request) {
  asio::io_context context(1);
  HttpClient http(context);
  std::optional<HttpResult> result;
  http.Send(std::move(request), [&](HttpResult r) { result = std::move(r); });
  while (!result && context.run_one() != 0) {
  }
  return result ? *std::move(result) : HttpResult{HttpError::kFailed};
}

std::string AdminUrl(const std::string& address, const std::string& path) {
  return "http://" + address + path;
}

std::string QueryText(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                          c == '_' || c == '~';
    const auto byte = static_cast<unsigned char>(c);
    if (is_plain) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHex[byte >> 4U];
      escaped += kHex[byte & 0xFU];
    }
  }
  return escaped;
}

}  // namespace pomelomill
