#pragma once

#include <memory>

#include "pomelomill/config/serve_settings.h"

namespace pomelomill {

/// One entry: the control thread with its node, the traffic thread with its
/// server, and the gRPC server between them.
class ServeProcess {
 public:
  explicit ServeProcess(ServeSettings settings);
  ~ServeProcess();

  /// Runs until a signal has ended it gracefully; returns the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
