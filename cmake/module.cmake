set(TEST_SANITIZER_OPTIONS
  "LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/cmake/lsan.supp")

function(hemlockgauge_module aName)
  cmake_parse_arguments(MODULE "" "" "SOURCES;LINKS;TESTS;TEST_LINKS" ${ARGN})
  if(MODULE_SOURCES)
    add_library(hg_${aName} STATIC ${MODULE_SOURCES})
    target_link_libraries(hg_${aName} PUBLIC ${MODULE_LINKS})
  else()
    add_library(hg_${aName} INTERFACE)
    target_link_libraries(hg_${aName} INTERFACE ${MODULE_LINKS})
  endif()
  if(MODULE_TESTS AND HEMLOCKGAUGE_TESTS)
    add_executable(${aName}_tests ${MODULE_TESTS})
    target_link_libraries(${aName}_tests PRIVATE hg_${aName}
      ${MODULE_TEST_LINKS} PkgConfig::CRITERION ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${aName} COMMAND ${aName}_tests --jobs 4)
    set_tests_properties(${aName} PROPERTIES TIMEOUT 600
      ENVIRONMENT "RC_PARAMS=seed=20261202;${TEST_SANITIZER_OPTIONS}")
  endif()
endfunction()
