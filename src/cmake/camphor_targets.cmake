# Functions that declare test programs and installed programs.

add_custom_target(core_tests)
add_custom_target(shell_tests)

# camphor_test(NAME SOURCE... LIBS lib... [LABELS label...] [LONG_CASES case...])
# Adds a Boost.Test program and registers it with CTest. Each long case becomes a CTest test of its
# own, NAME.CASE, so that the test timeout detects hangs and is not exceeded on a slow machine.
function(camphor_test name)
  if(CAMPHOR_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBS;LABELS;LONG_CASES" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} camphor_warnings Boost::unit_test_framework)
  foreach(label IN LISTS ARG_LABELS)
    add_dependencies(${label}_tests ${name})
  endforeach()
  set(filters_without_long_cases "")
  foreach(case IN LISTS ARG_LONG_CASES)
    camphor_add_test(${name}.${case} ${name} "${ARG_LABELS}" --run_test=${case})
    list(APPEND filters_without_long_cases --run_test=!${case})
  endforeach()
  camphor_add_test(${name} ${name} "${ARG_LABELS}" ${filters_without_long_cases})
endfunction()

# camphor_add_test(NAME PROGRAM LABELS ARGUMENT...)
# Adds one CTest test that runs a Boost.Test program with a fixed RapidCheck seed.
function(camphor_add_test name program labels)
  add_test(NAME ${name} COMMAND ${program} --log_level=test_suite --report_level=short ${ARGN})
  set_tests_properties(${name} PROPERTIES
    TIMEOUT 120
    LABELS "${labels}"
    ENVIRONMENT "RC_PARAMS=seed=20261204;TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/src/cmake/tsan.supp")
endfunction()

# camphor_tool(NAME SOURCE... LIBS lib...)
# Adds an installed program in bin/ of the build folder.
function(camphor_tool name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} camphor_warnings)
  target_compile_definitions(${name} PRIVATE CAMPHOR_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  install(TARGETS ${name})
endfunction()
