// The stand-ins of the review:
//   stand_in store MACHINES OPERATOR FRONT...
//   stand_in worker ID ADDRESS SERVICE RACK OPERATOR RECORD
//   stand_in call ADDRESS METHOD TARGET HOST [BODY]
//     prints the status and the body of the answer; status 0 for none
//   stand_in ports N
//     prints N ports that are free now, one a line

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"
#include "worker.h"

namespace review {
namespace {

constexpr int kCallTimeoutMs = 3'000;
constexpr int kUsageError = 2;

int PrintPorts(int count) {
  std::vector<int> sockets;
  for (int i = 0; i < count; ++i) {
    const int it = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(it, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(it, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      return kUsageError;
    std::cout << ntohs(address.sin_port) << "\n";
    sockets.push_back(it);
  }
  for (const int it : sockets) close(it);
  return 0;
}

int Run(const std::vector<std::string>& args) {
  const std::string command = args.empty() ? "" : args[0];
  if (command == "store" && args.size() >= 4)
    return RunStore({args.begin() + 3, args.end()}, args[1], args[2]);
  if (command == "worker" && args.size() == 7) {
    return RunWorker({.id = args[1],
                      .address = args[2],
                      .service = args[3],
                      .rack = args[4],
                      .operator_address = args[5],
                      .record = args[6]});
  }
  if (command == "call" && args.size() >= 5) {
    const Response response =
        Call(args[1], args[2], args[3], args[4], args.size() > 5 ? args[5] : "",
             kCallTimeoutMs);
    std::cout << response.status << " " << response.body << "\n";
    return 0;
  }
  if (command == "ports" && args.size() == 2)
    return PrintPorts(std::atoi(args[1].c_str()));
  std::cerr << "usage: stand_in store|worker|call|ports ...\n";
  return kUsageError;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    return review::Run({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    std::cerr << "stand_in: " << e.what() << "\n";
    return 1;
  }
}
