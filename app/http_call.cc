#include "http_call.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace pomelomill {
namespace {

/// Resolves percent escapes; malformed ones are kept.
std::string Unescaped(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    const char* const begin = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(begin, begin + 2, byte, 16).ptr == begin + 2) {
      plain += static_cast<char>(byte);
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

}  // namespace

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

std::string QueryValue(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return "";
  std::size_t at = query + 1;
  while (at < target.size()) {
    const auto end = std::min(target.find('&', at), target.size());
    const std::string item = target.substr(at, end - at);
    if (item.starts_with(name + "="))
      return Unescaped(item.substr(name.size() + 1));
    at = end + 1;
  }
  return "";
}

}  // namespace pomelomill
