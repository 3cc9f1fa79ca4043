#pragma once

#include <sstream>
#include <string>

namespace pomelomill::review {

/// Returns the parts as one text.
template <typename... Part>
std::string Text(const Part&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

}  // namespace pomelomill::review
