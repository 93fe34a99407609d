// The operators' resource API.
#include "libshell/resource_api.h"

#include <camphortally/api_view.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace camphor::shell {

namespace {

using nlohmann::json;

constexpr std::int32_t audit_rows = 500;

void refuse(const responder_ptr& reply, int status, const std::string& code,
            const std::string& message)
{
    api_reply out;
    out.status = status;
    out.body = error_body(code, {{"", message}});
    reply->send(out);
}

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t start = 1;
    while (start < path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        parts.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

/// A whole number, perhaps in quotes as ETags are. Empty when it is not one.
std::optional<std::int64_t> read_number(std::string text)
{
    std::erase(text, '"');
    const bool is_number = !text.empty() && text.size() < 19 &&
                           text.find_first_not_of("0123456789") == std::string::npos;
    return is_number ? std::optional(std::stoll(text)) : std::nullopt;
}

origin origin_of(const api_request& request)
{
    const auto who = request.header("x-operator");
    return {who.empty() ? "unknown" : who, request.remote_address};
}

/// Reads If-Match.
/// @throws invalid_input when it is not a revision
std::optional<config_version> if_match_of(const api_request& request)
{
    const auto text = request.header("if-match");
    if (text.empty()) {
        return std::nullopt;
    }
    const auto number = read_number(text);
    if (!number) {
        throw invalid_input("", "If-Match is not a revision: " + text);
    }
    return config_version{*number};
}

backend_announced read_announcement(const json& document)
{
    static const std::map<std::string, backend_state> states{{"warming", backend_state::warming},
                                                             {"ready", backend_state::ready},
                                                             {"draining", backend_state::draining}};
    backend_announced out;
    out.backend = backend_id{document.at("backend").get<std::string>()};
    out.service = service_id{document.at("service").get<std::string>()};
    out.release = release_id{document.at("release").get<std::string>()};
    out.host = document.at("host");
    out.port = document.at("port");
    out.slots = document.at("slots");
    out.state = states.at(document.value("state", "ready"));
    out.reported_in_flight = document.value("in_flight", 0);
    return out;
}

} // namespace

resource_api::resource_api(runtime& core, platform_http& platform, json_log& log,
                           metrics_function metrics)
    : core_(core), platform_(platform), log_(log), metrics_(std::move(metrics))
{
}

void resource_api::handle(const api_request& request, const responder_ptr& reply)
{
    const auto parts = split_path(request.path);
    using handler = void (resource_api::*)(const api_request&, const responder_ptr&);
    static const std::map<std::string, handler> fixed{
        {"/v1/announce", &resource_api::announce},
        {"/v1/audit", &resource_api::audit},
        {"/v1/log-level", &resource_api::log_level_request},
    };
    try {
        if (const auto found = fixed.find(request.path); found != fixed.end()) {
            (this->*found->second)(request, reply);
        } else if (request.path == "/v1/nodes") {
            reply->send({200, nodes_document(core_.state(), monotonic_now())});
        } else if (request.path == "/healthz") {
            reply->send({200, R"({"status":"ok"})"});
        } else if (request.path == "/readyz") {
            ready(reply);
        } else if (request.path == "/metrics") {
            reply->send({200, metrics_(), "text/plain; version=0.0.4"});
        } else if (const auto kind = parts.size() >= 2 && parts.size() <= 3 && parts[0] == "v1"
                                         ? parse_resource_kind(parts[1])
                                         : std::nullopt) {
            handle_resource(request, reply, *kind, parts.size() == 3 ? parts[2] : "");
        } else {
            refuse(reply, 404, "not_found", "no such path: " + request.path);
        }
    } catch (const invalid_input& error) {
        reply->send({400, error_body("invalid_request", error.faults())});
    }
}

void resource_api::handle_resource(const api_request& request, const responder_ptr& reply,
                                   resource_kind kind, const std::string& name)
{
    const resource_key key{kind, name};
    if (request.method == "GET" && name.empty()) {
        const auto wanted = request.query.find("watch");
        if (wanted != request.query.end() && wanted->second == "true") {
            watch(request, reply, kind);
            return;
        }
        reply->send({200, list_document(core_.state(), monotonic_now(), kind)});
    } else if (request.method == "GET") {
        get(reply, key);
    } else if (request.method == "PUT" && !name.empty()) {
        put(request, reply, key);
    } else if (request.method == "DELETE" && !name.empty()) {
        remove(request, reply, key);
    } else {
        refuse(reply, 405, "method_not_allowed", request.method + " is not served here");
    }
}

void resource_api::put(const api_request& request, const responder_ptr& reply,
                       const resource_key& key)
{
    put_requested event;
    event.request = request_id{++next_request_};
    event.key = key;
    event.body = request.body;
    event.if_match = if_match_of(request);
    event.operation = operation_id{request.header("operation-id")};
    event.from = origin_of(request);
    owed_[event.request] = reply;
    core_.post(operator_event{event});
}

void resource_api::remove(const api_request& request, const responder_ptr& reply,
                          const resource_key& key)
{
    delete_requested event;
    event.request = request_id{++next_request_};
    event.key = key;
    event.if_match = if_match_of(request);
    event.operation = operation_id{request.header("operation-id")};
    event.from = origin_of(request);
    owed_[event.request] = reply;
    core_.post(operator_event{event});
}

void resource_api::answer(const answer_operator& decided)
{
    const auto found = owed_.find(decided.request);
    if (found == owed_.end()) {
        return;
    }
    api_reply out;
    out.status = decided.status;
    out.body = decided.body;
    if (decided.revision.value() > 0) {
        out.etag = '"' + std::to_string(decided.revision.value()) + '"';
    }
    found->second->send(out);
    owed_.erase(found);
}

void resource_api::get(const responder_ptr& reply, const resource_key& key) const
{
    const auto held = core_.state().config.current()->find(key);
    if (!held) {
        refuse(reply, 404, "not_found",
               "no " + to_string(key.kind) + " named \"" + key.name + "\"");
        return;
    }
    api_reply out;
    out.body = resource_document(core_.state(), monotonic_now(), *held);
    out.etag = '"' + std::to_string(held->revision.value()) + '"';
    reply->send(out);
}

void resource_api::watch(const api_request& request, const responder_ptr& reply, resource_kind kind)
{
    const auto since = request.query.find("since");
    const auto number = since == request.query.end() ? 0 : read_number(since->second).value_or(-1);
    if (number < 0) {
        refuse(reply, 400, "invalid_request", "since is not a config_version");
        return;
    }
    reply->start_stream();
    watchers_.push_back({reply, kind, config_version{number}, {}});
    if (!feed(watchers_.back())) {
        watchers_.pop_back();
    }
}

bool resource_api::feed(watcher& item) const
{
    const auto& view = *core_.state().config.current();
    std::set<std::string> present;
    for (const auto& [key, held] : view.resources()) {
        if (key.kind != item.kind) {
            continue;
        }
        present.insert(key.name);
        if (held->revision <= item.sent) {
            continue;
        }
        if (!item.reply->send_line(resource_document(core_.state(), monotonic_now(), *held))) {
            return false;
        }
    }
    for (const auto& name : item.shown) {
        const json gone{{"kind", to_string(item.kind)}, {"name", name}, {"deleted", true}};
        if (!present.contains(name) && !item.reply->send_line(gone.dump())) {
            return false;
        }
    }
    item.shown = std::move(present);
    item.sent = view.version();
    return true;
}

void resource_api::on_applied()
{
    watchers_.remove_if([this](watcher& item) { return !feed(item); });
}

void resource_api::announce(const api_request& request, const responder_ptr& reply)
{
    const auto document = parse_json(request.body);
    backend_announced event;
    try {
        event = read_announcement(document);
    } catch (const std::exception& error) {
        refuse(reply, 400, "invalid_announcement", error.what());
        return;
    }
    core_.post(backend_event{event});
    reply->send({200, "{}"});
}

void resource_api::audit(const api_request& request, const responder_ptr& reply)
{
    const auto since = request.query.find("since");
    const auto number = since == request.query.end() ? 0 : read_number(since->second).value_or(-1);
    if (number < 0) {
        refuse(reply, 400, "invalid_request", "since is not a config_version");
        return;
    }
    const auto after = "audit/" + change_key(config_version{number}).substr(7);
    platform_.call(table_scan{"audit/", after, audit_rows}, [reply](const platform_reply& found) {
        if (found.status != platform_status::ok) {
            refuse(reply, 503, "unavailable", "the platform does not answer");
            return;
        }
        json items = json::array();
        for (const auto& row : found.rows) {
            items.push_back(json::parse(row.value, nullptr, false));
        }
        reply->send({200, json{{"items", items}}.dump()});
    });
}

void resource_api::log_level_request(const api_request& request, const responder_ptr& reply)
{
    if (request.method == "PUT") {
        const auto document = parse_json(request.body);
        const auto wanted =
            document.is_object() && document.contains("level") && document.at("level").is_string()
                ? parse_log_level(document.at("level"))
                : std::nullopt;
        if (!wanted) {
            refuse(reply, 400, "invalid_request", "level is one of debug, info, warning, error");
            return;
        }
        log_.set_level(*wanted);
    }
    reply->send({200, json{{"level", to_string(log_.level())}}.dump()});
}

void resource_api::ready(const responder_ptr& reply) const
{
    const bool is_ready =
        core_.state().config.current()->version().value() > 0 && !core_.state().stopping;
    const json body{{"ready", is_ready},
                    {"config_version", core_.state().config.current()->version().value()}};
    api_reply out;
    out.status = is_ready ? 200 : 503;
    out.body = body.dump();
    reply->send(out);
}

} // namespace camphor::shell
