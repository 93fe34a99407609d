# Language standard, warnings, sanitizers and the compiler cache.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CAMPHOR_SANITIZER "" CACHE STRING "value for -fsanitize, empty for none")

# The project's own code links camphor_warnings, which makes warnings errors; generated code links
# camphor_options only.
add_library(camphor_options INTERFACE)
add_library(camphor_warnings INTERFACE)
target_compile_options(camphor_warnings INTERFACE -Wall -Wextra -Werror)
if(CAMPHOR_SANITIZER)
  target_compile_options(camphor_options INTERFACE
    # With instrumentation, GCC 12 reports false uninitialised reads inside <regex>.
    -Wno-maybe-uninitialized
    -fsanitize=${CAMPHOR_SANITIZER} -fno-omit-frame-pointer -fno-sanitize-recover=all -O1)
  if(CAMPHOR_SANITIZER STREQUAL "thread")
    # Asio uses atomic fences, which the thread sanitizer does not support.
    target_compile_options(camphor_options INTERFACE -Wno-tsan)
  endif()
  target_link_options(camphor_options INTERFACE -fsanitize=${CAMPHOR_SANITIZER})
endif()

# Paths are hashed relative to the source folder, so that checkouts share cache entries.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
    CCACHE_BASEDIR=${PROJECT_SOURCE_DIR} CCACHE_NOHASHDIR=1 CCACHE_PCH_EXTSUM=1
    CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
    ${CCACHE_PROGRAM})
endif()
