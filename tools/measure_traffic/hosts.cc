#include "hosts.h"

#include <asio/post.hpp>
#include <cstdlib>
#include <ctime>
#include <future>
#include <utility>

namespace pomelomill::measure {

ContextThread::ContextThread()
    : guard_(asio::make_work_guard(context_)),
      thread_([this] { context_.run(); }) {}

ContextThread::~ContextThread() {
  context_.stop();
  thread_.join();
}

void ContextThread::Call(const std::function<void()>& function) {
  std::promise<void> done;
  asio::post(context_, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

double ContextThread::CpuSeconds() {
  timespec ts{};
  Call([&] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts); });
  return static_cast<double>(ts.tv_sec) +
         static_cast<double>(ts.tv_nsec) * 1e-9;
}

EndpointHost::EndpointHost(int count,
                           const fake_endpoint::EndpointOptions& options) {
  thread_.Call([&] {
    timers_ = std::make_unique<AsioTimerService>(thread_.context());
    for (int i = 0; i < count; ++i) {
      endpoints_.push_back(std::make_unique<fake_endpoint::EndpointPort>(
          thread_.context(), *timers_, std::uint16_t{0}, options,
          static_cast<std::uint64_t>(i + 1)));
    }
  });
}

EndpointHost::~EndpointHost() {
  thread_.Call([this] { thread_.context().stop(); });
}

std::vector<std::uint16_t> EndpointHost::ports() {
  std::vector<std::uint16_t> ports;
  thread_.Call([&] {
    for (const auto& it : endpoints_) ports.push_back(it->port());
  });
  return ports;
}

std::vector<std::string> EndpointHost::Records() {
  std::vector<std::string> records;
  thread_.Call([&] {
    for (const auto& it : endpoints_) {
      std::string text;
      for (const auto& record : it->records()) {
        text += (record.id.empty() ? "-" : record.id) + " - " + record.target +
                (record.is_answered ? " answered\n" : " open\n");
      }
      records.push_back(std::move(text));
    }
  });
  return records;
}

std::uint32_t EndpointHost::Peak() {
  std::uint32_t peak = 0;
  thread_.Call([&] {
    for (const auto& it : endpoints_) peak = std::max(peak, it->peak());
  });
  return peak;
}

void EndpointHost::SetMode(int endpoint, const std::string& mode) {
  thread_.Call([&] {
    endpoints_.at(static_cast<std::size_t>(endpoint))
        ->Handle("POST", "/-/mode?" + mode, "", "", false);
  });
}

EntryHost::EntryHost(const std::vector<std::uint16_t>& endpoints,
                     std::uint32_t slots, Duration service_time) {
  auto declarations = std::make_shared<Declarations>();
  PoolDeclaration pool;
  pool.id = PoolId("main");
  pool.slots = slots;
  pool.connections = 8 * slots;
  declarations->pools[pool.id] = pool;
  declarations->services[ServiceId("proof")] = {
      .id = ServiceId("proof"), .pool = pool.id, .title = "proof"};
  for (const char* name : {"proof/layout", "proof/order"}) {
    QueueDeclaration queue;
    queue.id = QueueId(name);
    queue.service = ServiceId("proof");
    queue.is_repeatable = queue.id == QueueId("proof/layout");
    queue.service_time = service_time;
    declarations->queues[queue.id] = queue;
  }
  auto region = std::make_shared<RegionState>();
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    VmState vm;
    vm.pool = pool.id;
    vm.address = "127.0.0.1:" + std::to_string(endpoints[i]);
    vm.generation = Generation(1);
    region->vms[VmId("vm-" + std::to_string(i))] = vm;
  }
  region->shares = {{EntryId("a"), IncarnationId("a1"), 1}};
  thread_.Call([&] {
    timers_ = std::make_unique<AsioTimerService>(thread_.context());
    TrafficOptions options;
    options.router.entry = EntryId("a");
    options.router.incarnation = IncarnationId("a1");
    server_ = std::make_unique<TrafficServer>(thread_.context(), *timers_,
                                              options, TrafficHooks{});
    if (!server_->Start()) std::abort();
    server_->Post(DeclarationsChanged{declarations});
    server_->Post(RegionStateChanged{region, Version(1)});
    server_->Post(SendPermitChanged{Instant::max()});
    port_ = server_->port();
  });
}

EntryHost::~EntryHost() {
  thread_.Call([this] {
    server_.reset();
    thread_.context().stop();
  });
}

std::string EntryHost::url() const {
  return "http://127.0.0.1:" + std::to_string(port_);
}

TrafficStatus EntryHost::Status() {
  TrafficStatus status;
  thread_.Call([&] { status = server_->status(); });
  return status;
}

}  // namespace pomelomill::measure
