#include "key_ring.h"

#include "clients.h"
#include "wire.h"

namespace pomelomill::soak {
namespace {

using platform::stand_in::SleepMillis;
using platform::stand_in::TenantShape;
using platform::stand_in::WireClient;

constexpr int kUnauthorized = 401;
constexpr int kTimeoutMs = 3'000;
/// A configuration is in force 3 s after the store has it, and up to 6 s later
/// after an outage of the store.
constexpr int kInForceMs = 9'000;

}  // namespace

KeyRing::KeyRing(platform::stand_in::Store& store, Record& record)
    : store_(store),
      record_(record),
      workspaces_({{"alpha", {"alpha-0"}, 16'000},
                   {"beta", {"beta-0"}, 20'000},
                   {"gamma", {"gamma-0"}, 0}}) {
  for (const TenantShape& it : workspaces_) record_.SetCap(it.name, it.cap_cpu);
  Put();
}

std::string KeyRing::Workspace(std::size_t client) const {
  return workspaces_[client % workspaces_.size()].name;
}

std::string KeyRing::Current(std::size_t client) {
  const std::lock_guard lock(mutex_);
  return workspaces_[client % workspaces_.size()].keys.back();
}

void KeyRing::Rotate(std::size_t i) {
  const std::lock_guard lock(mutex_);
  TenantShape& workspace = workspaces_[i % workspaces_.size()];
  withdrawn_.push_back(workspace.keys.back());
  workspace.keys = {workspace.name + "-" + std::to_string(++last_key_)};
  record_.Note("keys: " + workspace.name + " has " + workspace.keys.back() +
               " instead of " + withdrawn_.back());
  Put();
}

void KeyRing::Check(const std::vector<std::string>& entries) {
  SleepMillis(kInForceMs);
  const std::lock_guard lock(mutex_);
  const auto call = [&](const std::string& entry, const std::string& key) {
    WireClient client(entry);
    client.SetKey(key);
    return client.Call("GET", kQueuePrefix, "", kTimeoutMs).status;
  };
  for (const std::string& entry : entries) {
    for (const std::string& it : withdrawn_) {
      const int status = call(entry, it);
      if (status == kUnauthorized) continue;
      std::string text = entry;
      text += " answers " + std::to_string(status);
      text += " to the key " + it;
      record_.Broken("KEY", text);
    }
    for (const TenantShape& it : workspaces_) {
      const int status = call(entry, it.keys.back());
      if (status == kUnauthorized)
        record_.Broken("KEY", entry + " rejects the key " + it.keys.back());
    }
  }
}

void KeyRing::Put() { store_.PutConfig(kHost, kQueuePrefix, workspaces_); }

}  // namespace pomelomill::soak
