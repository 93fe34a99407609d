// Snapshots: building, digests and referential closure.
#include <camphortally/snapshot.h>

#include <xxhash.h>

#include <set>
#include <tuple>
#include <utility>

namespace camphor {

namespace {

constexpr std::int32_t whole_share = 1000;

std::uint64_t hash_of(const resource& item)
{
    const std::string text = to_json(item);
    return XXH3_64bits(text.data(), text.size());
}

const move_spec& move_of(const resource& item)
{
    return std::get<move_spec>(item.spec);
}

bool is_active_move(const resource& item)
{
    return item.key.kind == resource_kind::move && !is_final(item.status->phase);
}

} // namespace

snapshot::snapshot(config_version version, resource_map resources)
    : version_(version), resources_(std::move(resources))
{
    for (const auto& [key, item] : resources_) {
        digest_ += hash_of(*item);
        index(item);
    }
}

void snapshot::index(const resource_ptr& item)
{
    if (is_active_move(*item)) {
        active_moves_[move_of(*item).service] = item;
    }
}

resource_ptr snapshot::find(const resource_key& key) const
{
    const auto found = resources_.find(key);
    return found == resources_.end() ? nullptr : found->second;
}

snapshot snapshot::with(const std::vector<change>& changes) const
{
    snapshot next = *this;
    for (const auto& item : changes) {
        if (item.version.value() != next.version_.value() + 1) {
            throw state_mismatch("change " + std::to_string(item.version.value()) +
                                 " does not follow version " +
                                 std::to_string(next.version_.value()));
        }
        const auto old = next.resources_.find(item.key);
        if (old != next.resources_.end()) {
            next.digest_ -= hash_of(*old->second);
            if (is_active_move(*old->second)) {
                next.active_moves_.erase(move_of(*old->second).service);
            }
            next.resources_.erase(old);
        }
        if (item.item) {
            next.digest_ += hash_of(*item.item);
            next.resources_[item.key] = item.item;
            next.index(item.item);
        }
        next.version_ = item.version;
    }
    return next;
}

resource_ptr snapshot::active_move(const service_id& service) const
{
    const auto found = active_moves_.find(service);
    return found == active_moves_.end() ? nullptr : found->second;
}

std::vector<release_share> snapshot::shares(const service_id& service) const
{
    const auto declared = find({resource_kind::service, service.value()});
    if (!declared) {
        return {};
    }
    const auto moving = active_move(service);
    if (!moving) {
        return {{std::get<service_spec>(declared->spec).release, permille{whole_share}}};
    }
    const auto share = moving->status->share.value();
    return {{move_of(*moving).from_release, permille{whole_share - share}},
            {move_of(*moving).to_release, permille{share}}};
}

namespace {

/// Collects the faults of one snapshot.
class closure_check {
public:
    explicit closure_check(const snapshot& view) : view_(view)
    {
        for (const auto& [key, item] : view_.resources()) {
            if (key.kind == resource_kind::upstream) {
                const auto& spec = std::get<upstream_spec>(item->spec);
                releases_.emplace(spec.service, spec.release);
            }
        }
    }

    std::vector<fault> run()
    {
        for (const auto& [key, item] : view_.resources()) {
            where_ = "/" + to_string(key.kind) + "s/" + key.name;
            std::visit([this](const auto& spec) { check(spec); }, item->spec);
            if (is_active_move(*item)) {
                check_overlap(move_of(*item).service);
            }
        }
        return std::move(faults_);
    }

private:
    void report(const std::string& field, const std::string& reason)
    {
        faults_.push_back({where_ + "/spec/" + field, reason});
    }

    void need_service(const service_id& service)
    {
        if (!view_.find({resource_kind::service, service.value()})) {
            report("service", "no service named \"" + service.value() + "\"");
        }
    }

    void need_release(const char* field, const service_id& service, const release_id& release)
    {
        if (!releases_.contains({service, release})) {
            report(field, "no upstream declares release \"" + release.value() + "\" of service \"" +
                              service.value() + "\"");
        }
    }

    void check(const service_spec& spec)
    {
        const service_id self{where_.substr(where_.rfind('/') + 1)};
        // A service may be declared before its upstreams; it then has no instance to send to.
        if (has_upstream(self)) {
            need_release("release", self, spec.release);
        }
    }

    void check(const upstream_spec& spec)
    {
        need_service(spec.service);
        if (!upstreams_.emplace(spec.service, spec.release).second) {
            report("release", "another upstream declares the same service and release");
        }
    }

    bool has_upstream(const service_id& service) const
    {
        const auto first = releases_.lower_bound({service, release_id{}});
        return first != releases_.end() && first->first == service;
    }

    void check(const route_spec& spec)
    {
        need_service(spec.service);
        const bool declared = view_.find({resource_kind::service, spec.service.value()}) != nullptr;
        if (declared && !has_upstream(spec.service)) {
            report("service", "service \"" + spec.service.value() + "\" has no upstream");
        }
        if (!routes_.emplace(spec.host, spec.path_prefix, spec.headers).second) {
            report("path_prefix", "another route matches the same host, prefix and headers");
        }
    }

    void check(const move_spec& spec)
    {
        const auto item = view_.find({resource_kind::move, where_.substr(where_.rfind('/') + 1)});
        if (is_final(item->status->phase)) {
            return;
        }
        need_service(spec.service);
        need_release("from_release", spec.service, spec.from_release);
        need_release("to_release", spec.service, spec.to_release);
    }

    void check_overlap(const service_id& service)
    {
        if (!moving_.insert(service).second) {
            report("service", "another move of service \"" + service.value() + "\" is in progress");
        }
    }

    const snapshot& view_;
    std::string where_;
    std::vector<fault> faults_;
    std::set<std::pair<service_id, release_id>> releases_;
    std::set<std::pair<service_id, release_id>> upstreams_;
    std::set<std::tuple<std::string, std::string, std::map<std::string, std::string>>> routes_;
    std::set<service_id> moving_;
};

} // namespace

std::vector<fault> check_closure(const snapshot& view)
{
    return closure_check(view).run();
}

} // namespace camphor
