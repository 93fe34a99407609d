// Rules that an order must keep on the version it is to follow.
#include "change_check.h"

#include <utility>

namespace camphor {

namespace {

order_refusal refusal(std::int32_t status, std::string code, std::string pointer, std::string why)
{
    return {status, std::move(code), {{std::move(pointer), std::move(why)}}};
}

std::optional<order_refusal> check_revision(const snapshot& base, const resource_key& key,
                                            std::optional<config_version> wanted)
{
    if (!wanted) {
        return std::nullopt;
    }
    const auto held = base.find(key);
    const auto revision = held ? held->revision : config_version{0};
    if (revision == *wanted) {
        return std::nullopt;
    }
    return refusal(409, "revision_conflict", "/revision",
                   "current revision is " + std::to_string(revision.value()) + ", not " +
                       std::to_string(wanted->value()));
}

std::optional<order_refusal> check_revisions(const snapshot& base, const change_order& order)
{
    if (auto found = check_revision(base, order.parts.front().key, order.if_match)) {
        return found;
    }
    for (const auto& part : order.parts) {
        if (auto found = check_revision(base, part.key, part.if_match)) {
            return found;
        }
    }
    return std::nullopt;
}

/// A service's release changes by a move, never by an edit.
std::optional<order_refusal> check_release_edit(const resource& held, const resource& wanted)
{
    const auto& old_spec = std::get<service_spec>(held.spec);
    const auto& new_spec = std::get<service_spec>(wanted.spec);
    if (old_spec.release == new_spec.release) {
        return std::nullopt;
    }
    return refusal(422, "release_needs_move", "/spec/release",
                   "traffic changes release by a move: declare one from \"" +
                       old_spec.release.value() + "\" to \"" + new_spec.release.value() + "\"");
}

std::optional<order_refusal> check_move_edit(const resource& held, const resource& wanted)
{
    if (is_final(held.status->phase)) {
        return refusal(409, "move_ended", "",
                       "the move is " + to_string(held.status->phase) + "; declare a new one");
    }
    const auto& old_spec = std::get<move_spec>(held.spec);
    const auto& new_spec = std::get<move_spec>(wanted.spec);
    const bool same = old_spec.service == new_spec.service &&
                      old_spec.from_release == new_spec.from_release &&
                      old_spec.to_release == new_spec.to_release;
    if (same) {
        return std::nullopt;
    }
    return refusal(409, "move_started", "/spec",
                   "service and releases of a move cannot change; cancel it by deleting it");
}

std::optional<order_refusal> check_new_move(const snapshot& base, const resource& wanted)
{
    const auto& spec = std::get<move_spec>(wanted.spec);
    const auto service = base.find({resource_kind::service, spec.service.value()});
    if (!service || std::get<service_spec>(service->spec).release == spec.from_release) {
        return std::nullopt; // An unknown service is reported by the closure check.
    }
    return refusal(422, "wrong_release", "/spec/from_release",
                   "service \"" + spec.service.value() + "\" is on release \"" +
                       std::get<service_spec>(service->spec).release.value() + "\"");
}

std::optional<order_refusal> check_operator_put(const snapshot& base, const resource& wanted,
                                                wall_time now)
{
    if (auto faults = check_resource(wanted, now); !faults.empty()) {
        return order_refusal{422, "invalid_resource", std::move(faults)};
    }
    const auto held = base.find(wanted.key);
    if (wanted.key.kind == resource_kind::service && held) {
        return check_release_edit(*held, wanted);
    }
    if (wanted.key.kind == resource_kind::move) {
        return held ? check_move_edit(*held, wanted) : check_new_move(base, wanted);
    }
    return std::nullopt;
}

std::optional<order_refusal> check_parts(const snapshot& base, const change_order& order,
                                         wall_time now)
{
    for (const auto& part : order.parts) {
        if (!part.item && !base.find(part.key)) {
            return refusal(404, "not_found", "",
                           "no " + to_string(part.key.kind) + " named \"" + part.key.name + "\"");
        }
        if (part.item && order.request) {
            if (auto found = check_operator_put(base, *part.item, now)) {
                return found;
            }
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<change> changes_of(const change_order& order, const snapshot& base, wall_time now)
{
    std::vector<change> out;
    auto version = base.version().value();
    for (const auto& part : order.parts) {
        change item;
        item.version = config_version{++version};
        item.key = part.key;
        item.operation = order.operation;
        item.accepted_at = now;
        if (part.item) {
            auto placed = *part.item;
            placed.revision = item.version;
            item.item = std::make_shared<const resource>(std::move(placed));
        }
        out.push_back(std::move(item));
    }
    return out;
}

std::optional<order_refusal> check_order(const snapshot& base, const change_order& order,
                                         wall_time now)
{
    if (auto found = check_revisions(base, order)) {
        return found;
    }
    if (auto found = check_parts(base, order, now)) {
        return found;
    }
    const auto next = base.with(changes_of(order, base, now));
    if (auto faults = check_closure(next); !faults.empty()) {
        return order_refusal{422, "dangling_reference", std::move(faults)};
    }
    return std::nullopt;
}

} // namespace camphor
