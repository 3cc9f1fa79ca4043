#include <iostream>
#include <string>
#include <vector>

#include "command_line.h"

int main(int argc, char** argv) {
  return pomelomill::RunCommandLine({argv + 1, argv + argc}, std::cout,
                                    std::cerr);
}
