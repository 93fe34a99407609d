// standin_platform: single-threaded stand-in for the platform's table and object store.
#include "platform_service.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace {

constexpr int exit_usage = 2;

int run(const cxxopts::ParseResult& options)
{
    boost::asio::io_context io(1);
    camphor::standin::platform_service service(io, options["seed"].as<std::uint64_t>());
    const camphor::standin::http_server server(
        io, options["host"].as<std::string>(), options["port"].as<std::uint16_t>(),
        [&](const auto& request, const auto& reply) { service.handle(request, reply); });
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_platform", "Transactional table and object store for tests");
    options.add_options()("host", "address to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "port to listen on", cxxopts::value<std::uint16_t>())(
        "seed", "random seed for the lose_answers fault",
        cxxopts::value<std::uint64_t>()->default_value("1"))("h,help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(parsed);
    } catch (const std::exception& error) {
        std::cerr << "standin_platform: " << error.what() << '\n';
        return exit_usage;
    }
}
