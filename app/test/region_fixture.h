#pragma once

#include <sys/types.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/http.h"

namespace pomelomill {

/// What one command line printed.
struct CommandOutcome {
  int code = 0;
  std::string out;
  std::string err;
};

/// Runs one command of the binary in this process.
CommandOutcome RunCommandHere(const std::vector<std::string>& arguments);

/// Asks until the condition holds; false after 60 s, which an entry on a busy
/// machine needs at most until it is ready.
bool Eventually(const std::function<bool()>& condition);

/// Fake store, fake platform and fake endpoints on a thread of their own, at
/// free loopback ports.
class RegionServers {
 public:
  static constexpr int kVms = 4;

  RegionServers();
  ~RegionServers();
  RegionServers(const RegionServers&) = delete;
  RegionServers& operator=(const RegionServers&) = delete;

  const std::string& store_url() const { return store_url_; }
  const std::string& platform_url() const { return platform_url_; }
  /// Reboots that the platform has begun.
  int reboots();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::string store_url_;
  std::string platform_url_;
};

/// A folder that is removed with this object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& text) const;
  std::string path(const std::string& name) const { return path_ + '/' + name; }

 private:
  std::string path_;
};

/// `pomelomill serve` as a child process, killed with this object or with the
/// test program.
class EntryProcess {
 public:
  /// Starts the entry and waits until its admin page answers.
  EntryProcess(const TemporaryFolder& folder, const RegionServers& servers,
               const std::string& id, const std::vector<std::string>& peers);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  const std::string& callers() const { return addresses_[0]; }
  const std::string& peers() const { return addresses_[1]; }
  const std::string& admin() const { return addresses_[2]; }

  /// Response of the admin page, or of the callers' address.
  HttpResult Admin(const std::string& method, const std::string& path) const;
  HttpResult Call(const std::string& path) const;
  bool is_ready() const;

  /// What the process has logged so far.
  std::string log() const;

  /// Sends SIGTERM and returns the exit code; -1 when the process did not end
  /// by itself.
  int Stop();

 private:
  bool Start(const TemporaryFolder& folder, const RegionServers& servers,
             const std::string& id, const std::vector<std::string>& peers);
  bool HasEnded();

  std::array<std::string, 3> addresses_;
  std::string log_file_;
  pid_t pid_ = -1;
  int wait_status_ = 0;
};

/// Operators' file for the VMs of RegionServers: pools "proofs" and "files",
/// queues "proof/layout" and "files/read", team "workshops".
std::string RegionDeclarations();

}  // namespace pomelomill
