# Packages that the build uses; INSTALL.md lists the Debian names.
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system thread log log_setup unit_test_framework)
find_package(nlohmann_json REQUIRED)
find_package(benchmark REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(THRIFT_LIBRARY thrift REQUIRED)

add_library(camphor_boost_log INTERFACE)
target_compile_definitions(camphor_boost_log INTERFACE BOOST_LOG_DYN_LINK)
target_link_libraries(camphor_boost_log INTERFACE Boost::log Boost::log_setup Boost::thread)
