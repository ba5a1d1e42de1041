# gypsumfall_library(NAME SOURCES a.cc ... DEPS gypsumfall_base Boost::json ...)
# Declares the static library gypsumfall_NAME from the sources of the current
# directory.
function(gypsumfall_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(gypsumfall_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(gypsumfall_${name} PUBLIC ${ARG_DEPS})
endfunction()

# gypsumfall_test(NAME SOURCES a_test.cc ... DEPS gypsumfall_base ...)
# Declares the test program NAME_test and registers it with CTest.
function(gypsumfall_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  if(GYPSUMFALL_ONLY_BINARY)
    return()
  endif()
  add_executable(${name}_test ${ARG_SOURCES}
                 $<TARGET_OBJECTS:gypsumfall_test_main>)
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPS})
  add_test(NAME ${name} COMMAND ${name}_test)
endfunction()
