#pragma once

#include <system_error>
#include <tl/expected.hpp>

namespace pomelomill {

/// A value, or the error that kept it from being produced.
template <typename T>
using Result = tl::expected<T, std::error_code>;

/// Success, or an error.
using Status = Result<void>;

/// An error for returning from a function whose result is Result<T>.
inline tl::unexpected<std::error_code> Unexpected(std::error_code ec) {
  return tl::unexpected<std::error_code>(ec);
}

}  // namespace pomelomill
