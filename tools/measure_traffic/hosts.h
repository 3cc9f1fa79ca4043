#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "endpoint_port.h"
#include "pomelomill/traffic.h"

namespace pomelomill::measure {

/// A thread that runs one Asio context.
class ContextThread {
 public:
  ContextThread();
  ~ContextThread();
  ContextThread(const ContextThread&) = delete;
  ContextThread& operator=(const ContextThread&) = delete;

  asio::io_context& context() { return context_; }
  /// Runs the function on the thread and waits for it.
  void Call(const std::function<void()>& function);
  /// Processor time that the thread has used, seconds.
  double CpuSeconds();

 private:
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

/// Fake endpoints on one thread.
class EndpointHost {
 public:
  EndpointHost(int count, const fake_endpoint::EndpointOptions& options);
  ~EndpointHost();

  std::vector<std::uint16_t> ports();
  /// All records as the admin path gives them.
  std::vector<std::string> Records();
  std::uint32_t Peak();
  void SetMode(int endpoint, const std::string& mode);

 private:
  ContextThread thread_;
  std::unique_ptr<AsioTimerService> timers_;
  std::vector<std::unique_ptr<fake_endpoint::EndpointPort>> endpoints_;
};

/// One entry on one thread, with one pool of these endpoints and the queues
/// "proof/layout" (repeatable) and "proof/order" (not repeatable).
class EntryHost {
 public:
  EntryHost(const std::vector<std::uint16_t>& endpoints, std::uint32_t slots,
            Duration service_time);
  ~EntryHost();

  std::string url() const;
  TrafficStatus Status();
  double CpuSeconds() { return thread_.CpuSeconds(); }

 private:
  ContextThread thread_;
  std::unique_ptr<AsioTimerService> timers_;
  std::unique_ptr<TrafficServer> server_;
  std::uint16_t port_ = 0;
};

}  // namespace pomelomill::measure
