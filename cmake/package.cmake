# bulrushlift_package(<name> [DEPENDS <package>...] [LIBRARIES <library>...])
#
# Defines the static library bulrushlift_<name> from all sources of the current
# folder and its test programs. The role of a file follows from its name:
#   *_benchmark.cc        one program each
#   *_main.cc             one program each, named without "_main"
#   *_matrix_test.cc      test program <name>_matrix, label "matrix"
#   *_path_test.cc        test program <name>_path, label "path"
#   *_fuzz.cc             test program <name>_fuzz, label "fuzz"
#   other *_test.cc       test program <name>_unit, label "unit"
#   other *_fake.cc       compiled into every test program of the package
#   everything else       the library
function(bulrushlift_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS" ${ARGN})
  file(GLOB all CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} *.cc)
  set(library ${all})
  list(FILTER library EXCLUDE REGEX "_(test|fuzz|fake|benchmark|main)\\.cc$")
  set(fakes ${all})
  list(FILTER fakes INCLUDE REGEX "_fake\\.cc$")

  set(target bulrushlift_${name})
  if(library)
    add_library(${target} STATIC ${library})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_SOURCE_DIR}/packages)
  list(TRANSFORM arg_DEPENDS PREPEND bulrushlift_)
  list(TRANSFORM arg_TEST_DEPENDS PREPEND bulrushlift_)
  target_link_libraries(${target} ${scope} ${arg_DEPENDS} ${arg_LIBRARIES})

  set(programs ${all})
  list(FILTER programs INCLUDE REGEX "_(benchmark|main)\\.cc$")
  foreach(source IN LISTS programs)
    string(REGEX REPLACE "(_main)?\\.cc$" "" program ${source})
    add_executable(${program} ${source})
    target_link_libraries(${program} PRIVATE ${target} ${arg_TEST_DEPENDS})
  endforeach()

  if(BULRUSHLIFT_PROGRAMS_ONLY)
    return()
  endif()
  set(tests ${all})
  list(FILTER tests INCLUDE REGEX "_(test|fuzz)\\.cc$")
  set(matrix ${tests})
  list(FILTER matrix INCLUDE REGEX "_matrix_test\\.cc$")
  set(path ${tests})
  list(FILTER path INCLUDE REGEX "_path_test\\.cc$")
  set(fuzz ${tests})
  list(FILTER fuzz INCLUDE REGEX "_fuzz\\.cc$")
  set(unit ${tests})
  list(FILTER unit EXCLUDE REGEX "_(matrix_test|path_test|fuzz)\\.cc$")
  foreach(label IN ITEMS unit fuzz matrix path)
    if(${label})
      bulrushlift_test_program(${name} ${label} ${target} "${${label}};${fakes}" "${arg_TEST_DEPENDS}")
    endif()
  endforeach()
endfunction()

function(bulrushlift_test_program name label target sources depends)
  set(program ${name}_${label})
  add_executable(${program} ${sources})
  target_link_libraries(${program} PRIVATE ${target} ${depends} bulrushlift_catch_main Catch2::Catch2 rapidcheck)
  target_compile_definitions(${program} PRIVATE BULRUSHLIFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                                                BULRUSHLIFT_BINARY_DIR="${CMAKE_BINARY_DIR}")
  set(serial FALSE)
  if(label STREQUAL "path")
    set(serial TRUE)
  endif()
  # The fixed seed gives the same cases on every run.
  catch_discover_tests(${program} TEST_PREFIX "${name}: "
    PROPERTIES LABELS ${label} TIMEOUT 300 RUN_SERIAL ${serial}
               ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
