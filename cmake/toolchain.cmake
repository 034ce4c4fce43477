set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(BULRUSHLIFT_PROGRAMS_ONLY "Leave out all tests and the libraries that only they need" OFF)
option(BULRUSHLIFT_SANITIZE "Build with address and undefined-behaviour sanitizers" OFF)

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
if(BULRUSHLIFT_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -O1
                      -Wno-maybe-uninitialized) # GCC 12 reports false positives with sanitizers
  add_link_options(-fsanitize=address,undefined)
endif()

# Paths are made relative to the source tree so that checkouts in different
# folders share the compiler cache.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
if(NOT BULRUSHLIFT_PROGRAMS_ONLY)
  find_package(Catch2 2 REQUIRED)
  find_package(rapidcheck REQUIRED)
  include(Catch)
endif()
