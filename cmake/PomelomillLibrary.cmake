# Defines one library of the workspace and its test program.
#
#   pomelomill_library(NAME DEPS lib... LINK target... [TEST_DEPS lib...]
#                      [DEFINITIONS def...])
#
# Sources are src/*.cc, tests are test/*.cc with one doctest main.

add_library(pomelomill_options INTERFACE)
target_compile_options(pomelomill_options INTERFACE -Wall -Wextra -Wshadow -Werror
                       # Designated initializers name only what differs.
                       -Wno-missing-field-initializers
                       # False positive of GCC 12 on "text" + std::string.
                       -Wno-restrict)
# Asio 1.22 chooses its allocator by a macro that depends on the order of
# includes; a fixed choice keeps allocation and release in step.
target_compile_definitions(pomelomill_options INTERFACE ASIO_STANDALONE
                                                        ASIO_DISABLE_STD_ALIGNED_ALLOC)

function(pomelomill_library name)
  cmake_parse_arguments(ARG "" "" "DEPS;LINK;TEST_DEPS;DEFINITIONS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cc)

  add_library(pomelomill_${name} STATIC ${sources})
  target_include_directories(pomelomill_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_compile_definitions(pomelomill_${name} PUBLIC ${ARG_DEFINITIONS})
  target_link_libraries(pomelomill_${name} PUBLIC pomelomill_options Threads::Threads)
  foreach(dep IN LISTS ARG_DEPS)
    target_link_libraries(pomelomill_${name} PUBLIC pomelomill_${dep})
  endforeach()
  target_link_libraries(pomelomill_${name} PUBLIC ${ARG_LINK})

  if(tests AND POMELOMILL_TESTS)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(${name}_test PRIVATE pomelomill_${name} rapidcheck)
    foreach(dep IN LISTS ARG_TEST_DEPS)
      target_link_libraries(${name}_test PRIVATE pomelomill_${dep})
    endforeach()
    add_test(NAME ${name} COMMAND ${name}_test)
    # Fixed seed: CI must return the same verdict on every run.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200")
  endif()
endfunction()
