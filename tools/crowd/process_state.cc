#include "process_state.h"

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace pomelomill::crowd {
namespace {

std::string Folder(pid_t process) {
  return "/proc/" + std::to_string(process) + "/";
}

}  // namespace

std::size_t PeakMemoryKb(pid_t process) {
  std::ifstream file(Folder(process) + "status");
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes) return kilobytes;
  }
  return 0;
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code ec;
  std::filesystem::directory_iterator it(Folder(process) + "fd", ec);
  std::size_t count = 0;
  for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
    ++count;
  return count;
}

}  // namespace pomelomill::crowd
