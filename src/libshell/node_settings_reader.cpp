// Node settings from JSON.
#include "libshell/node_settings_reader.h"

#include <camphortally/schema.h>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace camphor::shell {

namespace {

using nlohmann::json;

constexpr std::array level_names{"debug", "info", "warning", "error"};

/// Sets `target` when the key is there.
template <class Value>
void read_optional(const json& object, const char* key, Value& target)
{
    if (object.contains(key)) {
        target = object.at(key).get<Value>();
    }
}

void read_optional(const json& object, const char* key, std::chrono::milliseconds& target)
{
    if (object.contains(key)) {
        target = std::chrono::milliseconds(object.at(key).get<std::int64_t>());
    }
}

log_level read_level(const json& document)
{
    const auto wanted = document.value("log_level", "info");
    std::size_t i = 0;
    while (wanted != level_names.at(i)) {
        ++i;
    }
    return static_cast<log_level>(i);
}

std::vector<seed_node> read_seeds(const json& document)
{
    std::vector<seed_node> out;
    for (const auto& item : document.value("seeds", json::array())) {
        seed_node seed;
        seed.node = node_id{item.at("node")};
        seed.zone = zone_id{item.at("zone")};
        seed.address = {item.at("host"), item.at("peer_port")};
        out.push_back(std::move(seed));
    }
    return out;
}

listen_limits read_limits(const json& document)
{
    listen_limits out;
    const auto limits = document.value("limits", json::object());
    read_optional(limits, "call_connections", out.call_connections);
    read_optional(limits, "admin_connections", out.admin_connections);
    read_optional(limits, "header_bytes", out.header_bytes);
    read_optional(limits, "keyed_body_bytes", out.keyed_body_bytes);
    read_optional(limits, "admin_body_bytes", out.admin_body_bytes);
    read_optional(limits, "head_timeout_ms", out.head_timeout);
    return out;
}

daemon_settings read_checked(const json& document)
{
    daemon_settings out;
    out.node.mesh = document.at("mesh");
    out.node.node = node_id{document.at("node")};
    out.node.zone = zone_id{document.at("zone")};
    out.node.region = region_id{document.at("region")};
    const auto& listen = document.at("listen");
    out.node.host = listen.at("host");
    out.node.peer_port = listen.at("peer_port");
    out.node.call_port = listen.at("call_port");
    out.node.seeds = read_seeds(document);
    out.admin.host = listen.value("admin_host", out.admin.host);
    out.admin.port = listen.at("admin_port");
    const auto& platform = document.at("platform");
    out.platform.host = platform.at("host");
    out.platform.port = platform.at("port");
    read_optional(platform, "timeout_ms", out.platform.timeout);
    out.limits = read_limits(document);
    out.level = read_level(document);
    read_optional(document, "drain_grace_ms", out.drain_grace);
    return out;
}

/// Collects what the schema cannot say.
class settings_check {
public:
    explicit settings_check(const daemon_settings& settings) : settings_(settings) {}

    std::vector<fault> run()
    {
        check_advertised("/listen/host", settings_.node.host);
        check_address("/listen/admin_host", settings_.admin.host);
        check_address("/platform/host", settings_.platform.host);
        check_ports();
        for (std::size_t i = 0; i < settings_.node.seeds.size(); ++i) {
            check_seed("/seeds/" + std::to_string(i), settings_.node.seeds[i]);
        }
        return std::move(faults_);
    }

private:
    void report(const std::string& pointer, const std::string& reason)
    {
        faults_.push_back({pointer, reason});
    }

    bool check_address(const std::string& pointer, const std::string& host)
    {
        boost::system::error_code error;
        boost::asio::ip::make_address(host, error);
        if (error) {
            report(pointer, "\"" + host + "\" is not an IP address");
        }
        return !error;
    }

    /// An address that other nodes are told must lead to this node.
    void check_advertised(const std::string& pointer, const std::string& host)
    {
        if (check_address(pointer, host) && boost::asio::ip::make_address(host).is_unspecified()) {
            report(pointer, "other nodes cannot reach \"" + host + "\"; name one address");
        }
    }

    void check_ports()
    {
        std::map<std::uint16_t, std::string> taken;
        const std::array<std::pair<const char*, std::uint16_t>, 3> ports{{
            {"call_port", settings_.node.call_port},
            {"peer_port", settings_.node.peer_port},
            {"admin_port", settings_.admin.port},
        }};
        for (const auto& [key, port] : ports) {
            const auto [other, is_free] = taken.emplace(port, key);
            if (!is_free) {
                report(std::string("/listen/") + key, "is the same as " + other->second);
            }
        }
    }

    void check_seed(const std::string& pointer, const seed_node& seed)
    {
        check_advertised(pointer + "/host", seed.address.host);
        if (!seed_names_.insert(seed.node).second) {
            report(pointer + "/node", "another seed is named \"" + seed.node.value() + "\"");
        }
        if (!seed_addresses_.insert(seed.address).second) {
            report(pointer + "/peer_port", "another seed has the same address");
        }
        const peer_address self{settings_.node.host, settings_.node.peer_port};
        if (seed.node == settings_.node.node && seed.address != self) {
            report(pointer + "/node", "is this node, but at another address");
        }
    }

    const daemon_settings& settings_;
    std::vector<fault> faults_;
    std::set<node_id> seed_names_;
    std::set<peer_address> seed_addresses_;
};

} // namespace

daemon_settings read_node_settings(const std::string& json_text)
{
    const json document = parse_json(json_text);
    if (auto faults = check_schema(schema_name::node_settings, document); !faults.empty()) {
        throw invalid_input(std::move(faults));
    }
    auto settings = read_checked(document);
    if (auto faults = settings_check(settings).run(); !faults.empty()) {
        throw invalid_input(std::move(faults));
    }
    return settings;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || !text) {
        throw invalid_input("", "cannot be read");
    }
    return text.str();
}

} // namespace camphor::shell
