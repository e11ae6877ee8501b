# One test program for each folder below test/, one ctest for each file in it.
#
# A test file's first line names the promises that it proves:
#   // ctest-labels: promise-at-most-once promise-state-survives
# Files that prove a part rather than a promise use the label `unit`.
add_library(test_main STATIC test/TestMain.cpp)
target_compile_definitions(test_main PUBLIC CATCH_CONFIG_ENABLE_BENCHMARKING=0)

file(
  GLOB TEST_FOLDERS
  LIST_DIRECTORIES true
  CONFIGURE_DEPENDS test/*)
foreach(folder ${TEST_FOLDERS})
  get_filename_component(folder_name ${folder} NAME)
  file(GLOB test_files CONFIGURE_DEPENDS ${folder}/*Test.cpp)
  if(NOT test_files)
    continue()
  endif()
  # Helpers of a folder's tests (no Test suffix) are linked beside them.
  file(GLOB all_files CONFIGURE_DEPENDS ${folder}/*.cpp)
  set(program test_${folder_name})
  add_executable(${program} ${all_files})
  target_link_libraries(${program} PRIVATE test_main peridotspool_platform
                                           peridotspool rapidcheck)
  target_include_directories(${program} PRIVATE test)
  target_compile_definitions(
    ${program}
    PRIVATE PERIDOTSPOOL_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
            PERIDOTSPOOL_BINARY_DIR="${CMAKE_BINARY_DIR}")
  foreach(test_file ${test_files})
    get_filename_component(unit ${test_file} NAME_WE)
    file(STRINGS ${test_file} label_line LIMIT_COUNT 1
         REGEX "^// ctest-labels: ")
    if(NOT label_line)
      message(FATAL_ERROR "${test_file}: the first line must be "
                          "'// ctest-labels: LABEL...'")
    endif()
    string(REPLACE "// ctest-labels: " "" labels "${label_line}")
    string(REPLACE " " ";" labels "${labels}")
    set(test_name ${folder_name}/${unit})
    add_test(NAME ${test_name} COMMAND ${program} "-#" "[#${unit}]" -w NoTests)
    # A fixed seed keeps the verdict of the differential tests the same.
    set_tests_properties(
      ${test_name}
      PROPERTIES LABELS "${labels}" TIMEOUT 240 ENVIRONMENT
                 "RC_PARAMS=seed=20261202")
    if(folder_name STREQUAL "process"
       OR unit STREQUAL "SoakTest"
       OR test_name STREQUAL "soak/PlannedStopTest"
       OR test_name STREQUAL "soak/UpstreamLimitTest"
       OR test_name STREQUAL "soak/RestingUpstreamTest")
      # Each starts a whole system of ten processes and more; one at a time, so
      # that they do not take the processor from each other's leases.
      set_tests_properties(${test_name} PROPERTIES RESOURCE_LOCK system)
    endif()
    if(folder_name STREQUAL "hostile")
      # They check what a process holds under a load that fills a machine.
      set_tests_properties(${test_name} PROPERTIES RUN_SERIAL ON)
    endif()
  endforeach()
endforeach()

# Scripts that people rely on have tests of their own.
find_program(PYTHON3_PROGRAM python3 REQUIRED)
add_test(NAME scripts/report
         COMMAND ${PYTHON3_PROGRAM}
                 ${CMAKE_SOURCE_DIR}/test/scripts/report_test.py)
set_tests_properties(scripts/report PROPERTIES LABELS "unit")
add_test(NAME scripts/missed-days
         COMMAND ${PYTHON3_PROGRAM}
                 ${CMAKE_SOURCE_DIR}/test/scripts/missed_days_test.py)
set_tests_properties(scripts/missed-days PROPERTIES LABELS "unit")
add_test(NAME scripts/regression
         COMMAND ${PYTHON3_PROGRAM}
                 ${CMAKE_SOURCE_DIR}/test/scripts/regression_test.py)
set_tests_properties(scripts/regression PROPERTIES LABELS "unit")

add_test(NAME scripts/lint-keys
         COMMAND ${PYTHON3_PROGRAM}
                 ${CMAKE_SOURCE_DIR}/test/scripts/lint_keys_test.py)
set_tests_properties(scripts/lint-keys PROPERTIES LABELS "unit")

add_test(NAME scripts/style-check
         COMMAND ${PYTHON3_PROGRAM}
                 ${CMAKE_SOURCE_DIR}/test/scripts/style_check_test.py)
set_tests_properties(scripts/style-check PROPERTIES LABELS "unit")

# The soak runs the program of the users' platform as real processes.
if(TARGET test_soak)
  target_sources(test_soak PRIVATE test/process/ChildProcess.cpp)
  add_dependencies(test_soak peridotspool-platform)
endif()

# These press on the same real processes.
if(TARGET test_hostile)
  file(GLOB soak_parts CONFIGURE_DEPENDS test/soak/Soak*.cpp)
  list(FILTER soak_parts EXCLUDE REGEX "Test.cpp$")
  target_sources(test_hostile PRIVATE test/process/ChildProcess.cpp
                                      ${soak_parts})
  add_dependencies(test_hostile peridotspool-platform)
endif()

# The tests of real processes run these programs.
if(TARGET test_process)
  add_dependencies(
    test_process
    peridotspool-entryd
    peridotspool-controld
    fake-engine
    fake-service
    fake-relay)
endif()
