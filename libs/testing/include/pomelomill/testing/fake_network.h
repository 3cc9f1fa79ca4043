#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/testing/fault_injector.h"

namespace pomelomill::testing {

/// One message between two processes.
struct NetworkMessage {
  Instant sent;
  std::string from;
  std::string to;
  std::string step;
  /// How often it was handed to the receiver; 0 for a lost message.
  std::uint32_t deliveries = 0;
};

/// Messages between entries. A message carries its content in the function
/// that runs in the receiver.
class FakeNetwork {
 public:
  explicit FakeNetwork(VirtualTimerService& world,
                       FaultInjector* injector = nullptr)
      : world_(world), injector_(injector) {}

  /// Sends one message; `deliver` runs in the receiver, possibly never or
  /// more than once.
  void Send(FakeProcess& from, FakeProcess& to, const std::string& step,
            std::function<void()> deliver);

  /// Blocks or opens one direction between two processes.
  void Block(const std::string& from, const std::string& to);
  void Open(const std::string& from, const std::string& to);
  /// Blocks messages from, or to, one process; opened by HealAll().
  void BlockFrom(const std::string& process) { blocked_from_.insert(process); }
  void BlockTo(const std::string& process) { blocked_to_.insert(process); }
  void HealAll();
  bool is_blocked(const std::string& from, const std::string& to) const;

  Duration latency = std::chrono::milliseconds(1);
  Duration late = std::chrono::seconds(6);
  Duration duplicate_after = std::chrono::milliseconds(700);
  Duration reorder_limit = std::chrono::seconds(1);

  const std::vector<NetworkMessage>& messages() const { return messages_; }

 private:
  void Deliver(std::size_t message, FakeProcess& to,
               const std::function<void()>& deliver);

  VirtualTimerService& world_;
  FaultInjector* injector_;
  std::set<std::pair<std::string, std::string>> blocked_;
  std::set<std::string> blocked_from_;
  std::set<std::string> blocked_to_;
  std::map<std::pair<std::string, std::string>,
           std::vector<std::function<void()>>>
      held_;
  std::vector<NetworkMessage> messages_;
};

}  // namespace pomelomill::testing
