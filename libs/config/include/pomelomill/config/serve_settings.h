#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/diagnostic.h"

namespace pomelomill {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Bounds on what callers can make one entry hold.
struct ServeLimits {
  std::uint32_t connections = 4'096;
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 8 * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(5);
  /// From the end of the headers to the end of the body.
  Duration body_timeout = std::chrono::seconds(30);
  /// Requests accepted and not yet answered.
  std::uint32_t requests = 16'384;

  bool operator==(const ServeLimits&) const = default;
};

/// Settings of one `pomelomill serve` process. Addresses are "HOST:PORT", URLs
/// are "http://HOST:PORT".
struct ServeSettings {
  EntryId entry;
  RegionId region;
  ZoneId zone;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  /// Peer addresses of other entries; more are learned from the store.
  std::vector<std::string> peers;
  std::string store_url;
  std::string platform_url;
  LogLevel log_level = LogLevel::kInfo;
  /// Time to live of the entry's lease in the store.
  Duration entry_lease = std::chrono::seconds(10);
  /// Time to live of the control lease.
  Duration control_lease = std::chrono::seconds(10);
  /// Allowance for clocks that run at different speeds, for each lease.
  Duration drift_margin = std::chrono::milliseconds(500);
  ServeLimits limits;

  bool operator==(const ServeSettings&) const = default;
};

/// The settings of one INI file, or all its errors in the order of lines.
tl::expected<ServeSettings, std::vector<Diagnostic>> ParseServeSettings(
    std::string_view text, const std::string& file);

}  // namespace pomelomill
