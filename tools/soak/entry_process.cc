#include "entry_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <utility>
#include <vector>

#include "wire.h"

namespace pomelomill::soak {
namespace {

using platform::stand_in::FreeAddress;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::WireClient;

constexpr int kGraceMs = 6'000;
constexpr int kPollMs = 20;
constexpr int kReadyTimeoutMs = 500;
constexpr mode_t kLogMode = 0644;

}  // namespace

EntryProcess::EntryProcess(int index, EntryOptions options, Record& record)
    : index_(index),
      options_(std::move(options)),
      record_(record),
      callers_(FreeAddress()),
      ready_(FreeAddress()),
      peers_(FreeAddress()),
      metrics_(FreeAddress()) {
  std::ofstream(options_.directory + "/entry-" + std::to_string(index) + ".ini")
      << "[entry]\nid = entry-" << index << "\nzone = z" << index
      << "\nstop_grace = 6s\n\n[listen]\ncallers = " << callers_
      << "\nready = " << ready_ << "\npeers = " << peers_
      << "\nmetrics = " << metrics_
      << "\n\n[store]\naddress = " << options_.store_address
      << "\n\n[fleet]\naddress = " << options_.machines_address
      << "\n\n[resources]\ncpu_share = 1\ncores = 1\nmemory_mb = "
      << options_.memory_mb << "\nlink_mbps = 1000\n";
}

EntryProcess::~EntryProcess() { Kill(); }

void EntryProcess::Launch() {
  const std::string base =
      options_.directory + "/entry-" + std::to_string(index_);
  std::string settings = base + ".ini";
  std::string binary = options_.binary;
  std::string command = "dispatch";
  std::array<char*, 4> arguments = {binary.data(), command.data(),
                                    settings.data(), nullptr};
  std::vector<std::string> texts = options_.environment;
  std::vector<char*> environment;
  for (std::string& it : texts) environment.push_back(it.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   (base + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Sockets of this process must not stay open in the new one.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, binary.c_str(), &actions, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::system_error(error, std::generic_category(), binary);
  record_.Note("entry-" + std::to_string(index_) + " starts, process " +
               std::to_string(pid_));
}

void EntryProcess::Kill() {
  if (pid_ == 0) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void EntryProcess::Terminate() {
  Signal(SIGTERM);
  if (!AwaitEnd(kGraceMs)) Kill();
}

void EntryProcess::Signal(int signal) {
  record_.Note("entry-" + std::to_string(index_) + " gets signal " +
               std::to_string(signal));
  if (pid_ != 0) kill(pid_, signal);
}

bool EntryProcess::IsReady() const {
  return WireClient(ready_)
             .Call("GET", "/pomelomill/ready", "", kReadyTimeoutMs)
             .status == 200;
}

bool EntryProcess::AwaitEnd(int timeout_ms) {
  const std::int64_t end = SteadyMillis() + timeout_ms;
  while (SteadyMillis() < end) {
    if (pid_ == 0) return true;
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
      return true;
    }
    SleepMillis(kPollMs);
  }
  return false;
}

}  // namespace pomelomill::soak
