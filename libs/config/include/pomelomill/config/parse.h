#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/config/diagnostic.h"

namespace pomelomill {

/// The declarations of one file, or all its errors in the order of their
/// lines. `file` is the name that the diagnostics carry. Texts above 1 MiB are
/// refused.
tl::expected<Declarations, std::vector<Diagnostic>> Parse(
    std::string_view text, const std::string& file);

/// The bytes of a file; kUnreadable, or kTooLarge above 1 MiB.
Result<std::string> ReadFile(const std::string& path);

}  // namespace pomelomill
