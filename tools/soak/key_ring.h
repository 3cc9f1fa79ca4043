#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "record.h"
#include "store.h"

namespace pomelomill::soak {

/// The workspaces of the soak and their keys, which change while it runs: each
/// change adds a key to one workspace and withdraws its former one.
class KeyRing {
 public:
  KeyRing(platform::stand_in::Store& store, Record& record);

  /// Name and present key of the workspace of client `i`.
  std::string Workspace(std::size_t client) const;
  std::string Current(std::size_t client);
  /// Withdraws the key of workspace `i` and gives it another.
  void Rotate(std::size_t i);
  /// Reports KEY when, after a while without faults, an entry takes a call with
  /// a withdrawn or unknown key, or rejects one with a present key. The
  /// addresses are those of the entries for callers.
  void Check(const std::vector<std::string>& entries);

 private:
  void Put();

  platform::stand_in::Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::vector<platform::stand_in::TenantShape> workspaces_;
  std::vector<std::string> withdrawn_ = {"never-given"};
  int last_key_ = 0;
};

}  // namespace pomelomill::soak
