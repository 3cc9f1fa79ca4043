#pragma once

#include <string>
#include <string_view>

#include "fake_platform.h"

namespace pomelomill {

struct ProtocolReply {
  int status = 200;
  std::string body;
};

/// Answers one request of the platform protocol (design, section 4), or one
/// of the admin paths:
///   POST /-/admin/vms/ID?returns=0|1 and ?listed=0|1
///   POST /-/admin/workers/ID?fails=0|1
///   POST /-/admin/racks/ID?lost=0|1, POST /-/admin/zones/ID?lost=0|1
///   GET /-/admin/effects (all operations that had an effect)
ProtocolReply Answer(FakePlatform& platform, std::string_view method,
                     std::string_view target, std::string_view body);

/// The fleet of a JSON file `{"vms": [...], "workers": [...]}` with the
/// objects of the protocol; false when it is malformed.
bool LoadFleet(std::string_view text, FakePlatform* platform);

}  // namespace pomelomill
