#pragma once

#include <algorithm>
#include <string_view>

namespace pomelomill {

/// Whether the text stands in a JSON string as it is: printable ASCII without
/// quotes and backslashes (RFC 8259, section 7).
inline bool IsPlainJsonText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
}

}  // namespace pomelomill
