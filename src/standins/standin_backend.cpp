// standin_backend: single-threaded backend server for tests.
#include "announcer.h"
#include "backend_service.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>

namespace {

using namespace camphor::standin;
using std::chrono::milliseconds;

constexpr int exit_usage = 2;

backend_settings read_settings(const cxxopts::ParseResult& options)
{
    backend_settings out;
    out.name = options["name"].as<std::string>();
    out.service = options["service"].as<std::string>();
    out.release = options["release"].as<std::string>();
    out.slots = options["slots"].as<std::int32_t>();
    out.queue_capacity =
        options.count("queue") != 0 ? options["queue"].as<std::int32_t>() : out.slots;
    out.service_time = std::chrono::microseconds(options["service-time-us"].as<std::int64_t>());
    out.service_time_spread = options["spread"].as<double>();
    out.warm_up = milliseconds(options["warm-up-ms"].as<std::int64_t>());
    out.cold_start = milliseconds(options["cold-start-ms"].as<std::int64_t>());
    out.cold_start_factor = options["cold-factor"].as<double>();
    out.seed = options["seed"].as<std::uint64_t>();
    out.execution_file = options["execution-file"].as<std::string>();
    return out;
}

announce_settings read_announce_settings(const cxxopts::ParseResult& options)
{
    announce_settings out;
    const auto node = options["announce"].as<std::string>();
    const auto colon = node.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--announce: expected HOST:PORT");
    }
    out.node_host = node.substr(0, colon);
    out.node_admin_port = static_cast<std::uint16_t>(std::stoul(node.substr(colon + 1)));
    out.backend_host = options["host"].as<std::string>();
    out.backend_port = options["port"].as<std::uint16_t>();
    return out;
}

int run(const cxxopts::ParseResult& options)
{
    boost::asio::io_context io(1);
    backend_service service(io, read_settings(options));
    const http_server server(
        io, options["host"].as<std::string>(), options["port"].as<std::uint16_t>(),
        [&](const auto& request, const auto& reply) { service.handle(request, reply); });
    std::unique_ptr<announcer> backend_announcer;
    if (options.count("announce") != 0) {
        backend_announcer =
            std::make_unique<announcer>(io, read_announce_settings(options), service);
        backend_announcer->announce_now();
    }
    const milliseconds grace(options["drain-grace-ms"].as<std::int64_t>());
    const auto drain = [&] {
        service.drain(grace, [&] { io.stop(); });
        if (backend_announcer) {
            backend_announcer->announce_now();
        }
    };
    service.set_drain_handler(drain);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { drain(); });
    io.run();
    return 0;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("standin_backend", "A backend server for tests");
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value) {
        return cxxopts::value<std::int64_t>()->default_value(value);
    };
    auto add = options.add_options();
    add("host", "address to listen on", text("127.0.0.1"));
    add("port", "port to listen on", cxxopts::value<std::uint16_t>());
    add("name", "name of this instance", cxxopts::value<std::string>());
    add("service", "service it belongs to", cxxopts::value<std::string>());
    add("release", "release it runs", cxxopts::value<std::string>());
    add("announce", "HOST:PORT of its node's admin listener", cxxopts::value<std::string>());
    add("slots", "maximum number of concurrent calls",
        cxxopts::value<std::int32_t>()->default_value("12"));
    add("queue", "maximum number of queued calls; default: same as --slots",
        cxxopts::value<std::int32_t>());
    add("service-time-us", "mean service time", number("3000"));
    add("spread", "relative spread of the service time",
        cxxopts::value<double>()->default_value("0.2"));
    add("warm-up-ms", "time in state `warming` after the start", number("0"));
    add("cold-start-ms", "time after the warm-up during which calls are slower", number("0"));
    add("cold-factor", "service time multiplier at the beginning of the cold start",
        cxxopts::value<double>()->default_value("5"));
    add("drain-grace-ms", "minimum time between SIGTERM and exit", number("2000"));
    add("execution-file", "file to append starts and ends of recorded calls to", text(""));
    add("seed", "random seed for service times and errors",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("h,help", "print this help");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto options = make_options();
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(parsed);
    } catch (const std::exception& error) {
        std::cerr << "standin_backend: " << error.what() << '\n';
        return exit_usage;
    }
}
