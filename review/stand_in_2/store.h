#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "../../platform/stand_in/wire.h"

namespace pomelomill::review {

using platform::stand_in::Ending;
using platform::stand_in::WireReply;
using platform::stand_in::WireRequest;
using platform::stand_in::WireServer;

/// Largest value that the store takes, in bytes ("valueBytes" of both sites).
inline constexpr std::size_t kValueBytes = 1'048'576;

/// The platform's metadata store and its list of machines, in this process.
/// Each entry has an address of its own, so that calls can be told apart.
class Store {
 public:
  using Json = nlohmann::json;
  /// Asked before a call of an entry is carried out; an answer replaces it.
  using Gate = std::function<bool(std::size_t entry, const WireRequest& request,
                                  WireReply& reply)>;

  explicit Store(std::size_t entries,
                 std::function<void(const std::string&)> note);

  std::string address(std::size_t entry) const;
  std::string machines_address() const { return machines_.address(); }
  void SetGate(Gate gate);

  /// Writes of the operator and of the runners.
  void Put(const std::string& key, const Json& value);
  void Erase(const std::string& key);
  /// A row of the machine list, by machine.
  void PutMachine(const std::string& machine, const Json& row);
  /// The entry that owns the key `cluster/owners/NAME`, as stored.
  std::string Value(const std::string& key);
  /// Size of the largest value that was offered, and the refusals for size.
  std::size_t largest_value();
  std::size_t refused_values();

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t expires_at = 0;
  };

  WireReply OnCall(std::size_t entry, const WireRequest& request);
  WireReply OnMachines(const WireRequest& request);
  WireReply Get(const std::string& key);
  WireReply Range(const WireRequest& request);
  WireReply Watch(std::unique_lock<std::mutex>& lock,
                  const WireRequest& request);
  WireReply Commit(const Json& body);
  void Write(const std::string& key, Item item);
  void Remove(const std::string& key);
  void EndLease(std::uint64_t id);
  void RemoveExpired();
  static Json Row(const std::string& key, const Item& item);

  const std::function<void(const std::string&)> note_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Gate gate_;
  std::map<std::string, Item> items_;
  std::map<std::string, Json> machine_rows_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::pair<std::uint64_t, Json>> events_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 100;
  std::size_t largest_value_ = 0;
  std::size_t refused_values_ = 0;
  std::vector<std::unique_ptr<WireServer>> servers_;
  WireServer machines_;
};

}  // namespace pomelomill::review
