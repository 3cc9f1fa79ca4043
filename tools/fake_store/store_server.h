#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "store_model.h"

namespace asio {
class io_context;
}

namespace pomelomill {

struct StoreServerOptions {
  std::string host = "127.0.0.1";
  /// 0 chooses a free port.
  std::uint16_t port = 0;
  /// Added to each response.
  Duration latency = std::chrono::milliseconds(1);
  StoreModelOptions model;
};

/// The store protocol of section 4 of the design over HTTP, with paths that
/// inject faults:
///   POST /admin/down?on=0|1
///   POST /admin/latency?ms=N
///   POST /admin/lose?writes=N     the next N writes take effect, and their
///                                 connections break before the response ends
///   POST /admin/rates?writes=N&reads=N    a second; 0 means no limit
///   GET  /admin/counters          calls of each kind by result
/// Runs on one Asio context, from its thread only.
class StoreServer {
 public:
  StoreServer(asio::io_context& context, const StoreServerOptions& options);
  ~StoreServer();

  /// Begins to listen; an error when the address cannot be bound.
  Status Open();
  std::uint16_t port() const;
  StoreModel& model();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
