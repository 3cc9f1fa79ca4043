#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <stdlib.h>

int main(int argc, char** argv) {
  // A run without RC_PARAMS uses the same seed as CI; rapidcheck prints the
  // parameters that reproduce a failure.
  setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);
  return doctest::Context(argc, argv).run();
}
