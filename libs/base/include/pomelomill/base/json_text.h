#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace pomelomill {

/// Whether the text stands in a JSON string as it is: printable ASCII without
/// quotes and backslashes (RFC 8259, section 7).
inline bool IsPlainJsonText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
}

/// Most levels of arrays and objects in a JSON text that a process parses.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Whether at most `max_depth` arrays and objects of the text are open at a
/// time. To be asked before a foreign text is parsed: copying, printing and
/// comparing a parsed value recurse, and a level takes far more memory than the
/// byte that opens it.
inline bool IsJsonWithinDepth(std::string_view text,
                              std::size_t max_depth = kMaxJsonDepth) {
  std::size_t depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      i = text.find_first_of("\"\\", i + 1);
      while (i < text.size() && text[i] == '\\')
        i = text.find_first_of("\"\\", i + 2);
      // The string does not end.
      if (i == std::string_view::npos) return true;
    } else if (c == '[' || c == '{') {
      if (++depth > max_depth) return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

}  // namespace pomelomill
