#include "pomelomill/http/http_message.h"

#include <algorithm>

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

std::string_view HttpResponse::header(std::string_view name) const {
  for (const HttpHeader& it : headers) {
    if (IsSameHeaderName(it.name, name)) return it.value;
  }
  return {};
}

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

}  // namespace pomelomill
