// Commands of camphorctl and the table that dispatches them.
#include "commands.h"

#include "table.h"

#include "libshell/resource_file.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <optional>
#include <thread>

namespace camphor::ctl {

namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_period{100};

/// Table columns of each kind, indexed by resource_kind.
const std::array<std::vector<column>, 4> kind_columns{{
    {{"NAME", "/name"},
     {"RELEASE", "/spec/release"},
     {"PRIORITY", "/spec/priority"},
     {"PHASE", "/status/phase"},
     {"REVISION", "/revision"}},
    {{"NAME", "/name"},
     {"SERVICE", "/spec/service"},
     {"RELEASE", "/spec/release"},
     {"SLOTS", "/spec/slots"},
     {"PHASE", "/status/phase"},
     {"REVISION", "/revision"}},
    {{"NAME", "/name"},
     {"HOST", "/spec/host"},
     {"PATH", "/spec/path_prefix"},
     {"SERVICE", "/spec/service"},
     {"TIMEOUT_MS", "/spec/timeout_ms"},
     {"KEY", "/spec/require_key"},
     {"PHASE", "/status/phase"},
     {"REVISION", "/revision"}},
    {{"NAME", "/name"},
     {"SERVICE", "/spec/service"},
     {"FROM", "/spec/from_release"},
     {"TO", "/spec/to_release"},
     {"DEADLINE", "/spec/deadline"},
     {"SHARE", "/status/share_permille"},
     {"PHASE", "/status/phase"},
     {"REASON", "/status/reason"}},
}};

const std::vector<column> node_columns{{"NODE", "/node"},
                                       {"ZONE", "/zone"},
                                       {"STATE", "/state"},
                                       {"CURRENT", "/is_current"},
                                       {"BACKENDS", "/backends"}};

const std::vector<column> audit_columns{
    {"VERSION", "/version"}, {"AT", "/at"},     {"WHO", "/who"},        {"ADDRESS", "/address"},
    {"KIND", "/kind"},       {"NAME", "/name"}, {"OUTCOME", "/outcome"}};

const std::vector<column>& columns_of(resource_kind kind)
{
    return kind_columns.at(static_cast<std::size_t>(kind));
}

[[noreturn]] void throw_bad_input(const std::string& message)
{
    throw api_failure(exit_code::bad_input, message);
}

/// Parses `KIND`, `KIND NAME` or `KIND/NAME`; the name is empty when it is not given.
resource_key parse_key(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        throw_bad_input("name a kind of resource: service, upstream, route or move");
    }
    const auto slash = arguments[0].find('/');
    const auto kind = parse_resource_kind(arguments[0].substr(0, slash));
    if (!kind) {
        throw_bad_input("\"" + arguments[0] +
                        "\" is no kind of resource; kinds are service, upstream, route and move");
    }
    std::string name;
    if (slash != std::string::npos) {
        name = arguments[0].substr(slash + 1);
    } else if (arguments.size() > 1) {
        name = arguments[1];
    }
    return {*kind, name};
}

resource_key parse_full_key(const std::vector<std::string>& arguments)
{
    auto key = parse_key(arguments);
    if (key.name.empty()) {
        throw_bad_input("name a " + to_string(key.kind));
    }
    return key;
}

std::string display_name(const resource_key& key)
{
    return to_string(key.kind) + "/" + key.name;
}

json require_resource(api_client& api, const resource_key& key)
{
    auto found = api.find(key);
    if (!found) {
        throw api_failure(exit_code::not_found, "no resource " + display_name(key));
    }
    return std::move(*found);
}

void print_list(const invocation& options, const std::vector<column>& columns, const json& document)
{
    if (options.as_json) {
        std::cout << document.dump(2) << '\n';
    } else {
        write_table(std::cout, columns, document.value("items", json::array()));
    }
}

std::string phase_of(const json& resource)
{
    return resource.value("/status/phase"_json_pointer, std::string());
}

bool is_in_force(const json& resource)
{
    return resource.value("/status/in_force"_json_pointer, false);
}

bool has_final_phase(const json& resource)
{
    const auto phase = phase_of(resource);
    return phase == "completed" || phase == "reverted" || phase == "refused";
}

/// Exit code of waiting for `wanted_state`, or nothing while the resource may still reach that
/// state.
std::optional<exit_code> wait_outcome(const json& resource, const std::string& wanted_state)
{
    if (wanted_state == "in_force" ? is_in_force(resource) : phase_of(resource) == wanted_state) {
        return exit_code::done;
    }
    if (wanted_state != "in_force" && has_final_phase(resource)) {
        return exit_code::other_outcome;
    }
    return std::nullopt;
}

/// Waits until the resource reaches a state. Polls instead of watching, since the versions applied
/// by other nodes change the status without a change event for the resource.
exit_code wait_for_state(api_client& api, const resource_key& key, const std::string& wanted_state,
                         clock::time_point deadline)
{
    json last_seen;
    while (true) {
        try {
            if (const auto found = api.find(key)) {
                last_seen = *found;
                if (const auto outcome = wait_outcome(last_seen, wanted_state)) {
                    std::cerr << display_name(key) << ": " << phase_of(last_seen) << '\n';
                    return *outcome;
                }
            }
        } catch (const api_failure& error) {
            if (clock::now() >= deadline) {
                throw;
            }
        }
        if (clock::now() >= deadline) {
            std::cerr << display_name(key) << ": timed out in phase \""
                      << (last_seen.is_null() ? "absent" : phase_of(last_seen))
                      << "\", missing nodes "
                      << last_seen.value("/status/missing_nodes"_json_pointer, json::array()).dump()
                      << '\n';
            return exit_code::timed_out;
        }
        std::this_thread::sleep_for(poll_period);
    }
}

exit_code wait_until_in_force(const invocation& options, api_client& api,
                              const std::vector<shell::placed_resource>& resources)
{
    const auto deadline = clock::now() + options.timeout;
    for (const auto& entry : resources) {
        const auto outcome = wait_for_state(api, entry.item.key, "in_force", deadline);
        if (outcome != exit_code::done) {
            return outcome;
        }
    }
    return exit_code::done;
}

/// Reads the resource files in the order in which they must be applied. Resources are checked
/// individually only, since references may name resources that the mesh already holds.
std::vector<shell::placed_resource> read_files(const invocation& options)
{
    if (options.files.empty()) {
        throw_bad_input("name files with -f");
    }
    auto contents = shell::read_resource_files(options.files);
    if (!contents.faults.empty()) {
        std::string message = "resource files have faults; nothing was sent";
        for (const auto& fault : contents.faults) {
            message += "\n" + to_string(fault);
        }
        throw_bad_input(message);
    }
    shell::sort_for_apply(contents.resources);
    return std::move(contents.resources);
}

exit_code apply(const invocation& options, api_client& api)
{
    const auto resources = read_files(options);
    for (const auto& entry : resources) {
        const auto& key = entry.item.key;
        change_request request{"PUT", key, to_json(entry.item), entry.item.revision.value(), ""};
        request.operation_id = options.operation_id + "-" + to_string(key.kind) + "-" + key.name;
        try {
            const auto accepted = api.change(request);
            std::cout << display_name(key) << " accepted as version "
                      << accepted.value("revision", std::int64_t{0}) << '\n';
        } catch (const api_failure& error) {
            throw api_failure(error.code(), entry.file + entry.pointer + ": " + display_name(key) +
                                                ": " + error.what() +
                                                "\n  operation id: " + options.operation_id);
        }
    }
    return options.wait_in_force ? wait_until_in_force(options, api, resources) : exit_code::done;
}

exit_code get(const invocation& options, api_client& api)
{
    const auto key = parse_key(options.arguments);
    const auto document =
        key.name.empty() ? api.get(resource_path(key.kind, "")) : require_resource(api, key);
    if (options.as_json) {
        std::cout << document.dump(2) << '\n';
        return exit_code::done;
    }
    const auto rows =
        key.name.empty() ? document.value("items", json::array()) : json::array({document});
    write_table(std::cout, columns_of(key.kind), rows);
    return exit_code::done;
}

exit_code describe(const invocation& options, api_client& api)
{
    const auto document = require_resource(api, parse_full_key(options.arguments));
    if (options.as_json) {
        std::cout << document.dump(2) << '\n';
    } else {
        write_description(std::cout, document);
    }
    return exit_code::done;
}

exit_code remove(const invocation& options, api_client& api)
{
    const auto key = parse_full_key(options.arguments);
    change_request request{"DELETE", key, "", options.if_match, ""};
    request.operation_id = options.operation_id + "-delete-" + to_string(key.kind) + "-" + key.name;
    const auto response = api.change(request);
    const bool is_deleted = response.value("deleted", false);
    std::cout << display_name(key) << (is_deleted ? " deleted\n" : " is being reverted\n");
    return exit_code::done;
}

exit_code watch(const invocation& options, api_client& api)
{
    const auto key = parse_key(options.arguments);
    api.watch(key.kind, options.since_version, [&](const json& resource) {
        if (!key.name.empty() && resource.value("name", "") != key.name) {
            return true;
        }
        if (options.as_json) {
            std::cout << resource.dump() << std::endl;
        } else {
            std::cout << resource.value("revision", std::int64_t{0}) << ' '
                      << resource.value("name", "") << ' '
                      << (resource.value("deleted", false) ? "deleted" : phase_of(resource)) << ' '
                      << resource.value("/status/reason"_json_pointer, std::string()) << std::endl;
        }
        return true;
    });
    return exit_code::done;
}

exit_code wait(const invocation& options, api_client& api)
{
    static const std::array states{"in_force", "completed", "reverted"};
    if (std::find(states.begin(), states.end(), options.wait_state) == states.end()) {
        throw_bad_input("--for is in_force, completed or reverted");
    }
    return wait_for_state(api, parse_full_key(options.arguments), options.wait_state,
                          clock::now() + options.timeout);
}

exit_code move_status(const invocation& options, api_client& api)
{
    if (options.arguments.size() != 2 || options.arguments[0] != "status") {
        throw_bad_input("usage: move status NAME");
    }
    const auto document = require_resource(api, {resource_kind::move, options.arguments[1]});
    if (options.as_json) {
        std::cout << document.at("status").dump(2) << '\n';
    } else {
        write_table(std::cout, columns_of(resource_kind::move), json::array({document}));
        write_description(std::cout, document.at("status"));
    }
    return exit_code::done;
}

exit_code nodes(const invocation& options, api_client& api)
{
    print_list(options, node_columns, api.get("/v1/nodes"));
    return exit_code::done;
}

exit_code audit(const invocation& options, api_client& api)
{
    print_list(options, audit_columns,
               api.get("/v1/audit?since=" + std::to_string(options.since_version)));
    return exit_code::done;
}

exit_code log_level(const invocation& options, api_client& api)
{
    const bool is_change = !options.arguments.empty();
    const auto document = is_change ? api.put("/v1/log-level", {{"level", options.arguments[0]}})
                                    : api.get("/v1/log-level");
    std::cout << (options.as_json ? document.dump(2) : document.value("level", "")) << '\n';
    return exit_code::done;
}

exit_code version(const invocation& /*options*/, api_client& /*api*/)
{
    std::cout << "camphorctl " CAMPHOR_VERSION "\n";
    return exit_code::done;
}

struct command_entry {
    const char* name;
    const char* usage;
    exit_code (*run)(const invocation&, api_client&);
};

const std::array<command_entry, 11> commands{{
    {"apply", "-f FILE... [--wait]       write all resources of the files", apply},
    {"get", "KIND [NAME]                 list resources", get},
    {"describe", "KIND NAME              show one resource and its status", describe},
    {"delete", "KIND NAME [--if-match R] delete; a move in progress is reverted", remove},
    {"watch", "KIND [NAME] [--since R]   print resources as they change", watch},
    {"wait", "KIND NAME --for=PHASE      wait until in_force, completed or reverted", wait},
    {"move", "status NAME                show share, stage, evidence and reason of a move",
     move_status},
    {"nodes", "                          list nodes, their state and configuration version", nodes},
    {"audit", "[--since R]               list changes with operator, address and outcome", audit},
    {"log-level", "[LEVEL]               show or set the node's log level", log_level},
    {"version", "                        show the version of camphorctl", version},
}};

} // namespace

std::string command_help()
{
    std::string out = "Commands:\n";
    for (const auto& entry : commands) {
        out += std::string("  ") + entry.name + " " + entry.usage + "\n";
    }
    return out;
}

exit_code run_command(const invocation& options)
{
    const auto* found =
        std::find_if(commands.begin(), commands.end(),
                     [&](const command_entry& entry) { return entry.name == options.command; });
    if (found == commands.end()) {
        throw_bad_input("no such command: \"" + options.command + "\"; see --help");
    }
    api_client api(options.api);
    return found->run(options, api);
}

} // namespace camphor::ctl
