# Fails when a source of the pure core mentions Asio, Beast, a clock, a thread or random_device, or
# when its objects refer to Asio, Beast or a clock.
# Variables: SOURCES is the folder of the sources (the public headers are checked as well), OBJECTS
# the static library built from them.
file(GLOB files ${SOURCES}/*.cpp ${SOURCES}/*.h ${SOURCES}/../include/camphortally/*.h)
foreach(file IN LISTS files)
  file(STRINGS ${file} found
    REGEX "boost/(asio|beast)|steady_clock::now|system_clock::now|std::thread|random_device|<thread>")
  if(found)
    message(FATAL_ERROR "the core must not use I/O, clocks or threads, but ${file} has: ${found}")
  endif()
endforeach()
execute_process(COMMAND nm -C --undefined-only ${OBJECTS} OUTPUT_VARIABLE symbols)
if(symbols MATCHES "boost::(asio|beast)|steady_clock::now|system_clock::now")
  message(FATAL_ERROR "the core must not use I/O or clocks, but ${OBJECTS} refers to Asio, Beast or a clock")
endif()
message(STATUS "the core uses no I/O, clock or thread")
