// Requests of local clients: routing, placement, retries, hedging and refusals.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>
#include <limits>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// The priority of an organisation goes before that of the route, which is below this.
constexpr int ranks_per_organisation_priority = 1'001;
/// Maximum number of refusals before the call waits in an owner's queue.
constexpr std::size_t max_refusals = 4;
/// Owners of a zone without a free slot are not asked again for this long. A zone of a few owners
/// has a free slot every few hundredths of a second, which requests of the same zone take first.
constexpr auto full_zone_memory = 50ms;
/// A node that has announced nothing for this many heartbeats may announce to others now.
constexpr int max_trusted_heartbeats = 2;
/// An answer is overdue after this multiple of the usual time that a request holds a slot; a few
/// percent of normal requests take longer.
constexpr int overdue_hold_factor = 3;
/// Owners with a failure ratio at or above this receive no hedged requests.
constexpr double max_hedge_failure_ratio = 0.3;
/// Maximum number of owners that are asked for a place in their queue.
constexpr std::size_t max_excluded_owners = 3;
/// Cost of one kilobyte sent between zones, as a fraction of a request's value; the operators of
/// both meshes set this price.
constexpr double cross_zone_cost_per_kb = 0.03;
/// Estimated bytes of a request without its body, its answer's header and their frames.
constexpr double overhead_bytes = 500;
/// Assumed body size of a route's answers, in bytes, until the first one arrives.
constexpr double initial_answer_bytes = 1500;
/// Share of the mesh-wide retry budget that the nodes use themselves. The calls that a repeated
/// run makes, one or two per run, count as repeats too and cannot be told from others.
constexpr double retry_budget_share = 0.3;
/// The retry-after time named to a client is at most its remaining time divided by this.
constexpr int max_wait_divisor = 3;
/// Clients whose timeout is shorter than the longest on the route by more than this are assumed to
/// be retrying after a refusal. First attempts on both meshes differ by up to this much.
constexpr int patience_spread_percent = 15;
/// Upper limit of the expected wait, and the value used when no owner named one.
constexpr auto default_wait = 1s;
/// Retry-after time of a node that has no configuration yet or is stopping; a start takes some
/// hundred milliseconds.
constexpr milliseconds early_refusal_wait{500};

/// A node probes an owner that was slow or failing after this time without a request to it, for
/// each node of the mesh: all nodes together probe an owner some times a second.
constexpr duration probe_interval_per_node = 500ms;
constexpr duration min_probe_interval = 2s;
constexpr duration max_probe_interval = 30s;

/// Number of requests that a cold backend server can run at a time within its limit.
int cold_slots(const candidate& option, double per_second)
{
    if (per_second <= 0) {
        return option.slots;
    }
    const auto at_a_time = per_second * std::chrono::duration<double>(option.mean_hold).count();
    return std::clamp(static_cast<int>(at_a_time), 1, option.slots);
}

std::string outcome_name(mesh_wire::run_outcome::type outcome)
{
    switch (outcome) {
    case mesh_wire::run_outcome::answered:
        return "answered";
    case mesh_wire::run_outcome::refused:
        return "refused";
    case mesh_wire::run_outcome::failed:
        return "failed";
    case mesh_wire::run_outcome::not_executed:
        return "not_executed";
    }
    return "unknown";
}

} // namespace

void node::refuse_early(const client_request& input, std::int32_t status, const std::string& reason,
                        duration wait)
{
    const auto& content = *input.content;
    ++counters_.refusals_by_reason[reason];
    log(log_level::warning, "request.refused", content.id,
        {{"reason", reason},
         {"host", content.host},
         {"target", content.target},
         {"status", std::to_string(status)},
         {"config_version", std::to_string(config_ ? config_->version().value() : 0)}});
    std::optional<milliseconds> retry_after;
    if (status == 503 || status == 429) {
        retry_after = std::chrono::duration_cast<milliseconds>(wait);
    }
    effects_.emplace_back(deliver_refusal{input.call, status, reason, retry_after});
}

const organisation* node::sender_of(const client_request& input) const
{
    return input.key ? config_->organisations().find_by_key(*input.key) : nullptr;
}

node::call_state node::make_call(const client_request& input, const route& route_config,
                                 const organisation* sender)
{
    call_state call;
    call.call = input.call;
    call.content = input.content;
    call.fingerprint = fingerprint_of(*input.content, settings_.service);
    call.config = config_;
    call.route_config = &route_config;
    call.rank = route_config.priority;
    if (sender != nullptr) {
        call.organisation = sender->name;
        call.rank += sender->priority * ranks_per_organisation_priority;
    }
    call.arrived = now_;
    const auto patience = input.patience.value_or(route_config.timeout);
    call.client_deadline = now_ + patience;
    call.deadline = now_ + std::min<duration>(patience, route_config.timeout);
    call.objective = now_ + route_config.objective - estimated_prior_wait(route_config, patience);
    call.service = choose_service(route_config);
    call.release = rollouts_.choose(call.service, random_fraction(), now_);
    return call;
}

void node::handle(const client_request& input)
{
    ++counters_.requests;
    const auto& content = *input.content;
    if (exit_allowed_) {
        refuse_early(input, 503, "stopping", early_refusal_wait);
        return;
    }
    if (!config_) {
        refuse_early(input, 503, "no_configuration", early_refusal_wait);
        return;
    }
    const auto* route_config = config_->match(content.host, content.target);
    if (route_config == nullptr) {
        refuse_early(input, 404, "no_route", {});
        return;
    }
    const auto* sender = sender_of(input);
    if (sender == nullptr && !route_config->is_public && !config_->organisations().empty()) {
        log(log_level::info, "request.unknown_key", content.id,
            {{"key", input.key ? key_fingerprint(*input.key) : "none"},
             {"route", route_config->name.value()}});
        refuse_early(input, 401, "unknown_key", {});
        return;
    }
    if (const auto left = quarantine_time_left(fingerprint_of(content, settings_.service))) {
        refuse_early(input, 503, quarantine_reason, *left);
        return;
    }
    auto call = make_call(input, *route_config, sender);
    if (may_outlast_stop(call)) {
        refuse_early(input, 503, "stopping", early_refusal_wait);
        return;
    }
    if (const auto wait = sender == nullptr ? std::nullopt
                                            : allowances_.refuse(*sender, peers_.all().size() + 1,
                                                                 random_fraction(), now_)) {
        // Spread, so that the clients of an organisation do not return together.
        refuse_early(input, 429, "allowance",
                     std::chrono::duration_cast<duration>(*wait * (1 + random_fraction())));
        return;
    }
    auto& budget =
        retry_budgets_.try_emplace(call.service, settings_.bounds.budget_window).first->second;
    budget.on_request(now_);
    call.deadline_entry = call_deadlines_.emplace(call.deadline, call.call);
    auto& stored = calls_.emplace(call.call, std::move(call)).first->second;
    place(stored);
}

void node::handle(const client_disconnected& input)
{
    const auto found = calls_.find(input.call);
    if (found == calls_.end()) {
        return;
    }
    log(log_level::info, "request.client_gone", found->second.content->id,
        {{"after_ms", format_ms(now_ - found->second.arrived)}});
    cancel_attempts(found->second);
    end_call(input.call);
}

duration node::estimated_prior_wait(const route& route_config, milliseconds patience)
{
    auto& longest = longest_patience_.try_emplace(route_config.name, patience).first->second;
    longest = std::max(longest, patience);
    const auto spread = duration(longest) * patience_spread_percent / 100;
    if (patience >= longest - spread) {
        return {};
    }
    return std::max(duration{}, longest - spread / 2 - patience);
}

service_id node::choose_service(const route& route_config)
{
    if (route_config.targets.size() == 1) {
        return route_config.targets.front().service;
    }
    // Smooth weighted round robin keeps each share exact over short spans.
    auto& credit = round_robin_credits_[route_config.name];
    double sum = 0;
    const weighted_service* best = nullptr;
    for (const auto& target : route_config.targets) {
        sum += target.weight;
        if (!credit.contains(target.service)) {
            credit[target.service] = random_fraction() * target.weight;
        }
        credit[target.service] += target.weight;
        if (target.weight > 0 &&
            (best == nullptr || credit[target.service] > credit[best->service])) {
            best = &target;
        }
    }
    credit[best->service] -= sum;
    return best->service;
}

bool node::can_serve(const backend& app, const call_state& call) const
{
    if (app.service != call.service || !app.accepts_requests()) {
        return false;
    }
    return rollouts_.allows(app.service, app.release, call.release);
}

bool node::may_outlast_stop(const call_state& call) const
{
    if (!stopping_ || call.deadline <= latest_exit_at()) {
        return false;
    }
    if (now_ >= earliest_exit_at()) {
        return true;
    }
    // Clients have not noticed the shutdown yet: serve what usually ends in time.
    const auto options = candidates(call);
    return !options.empty() &&
           std::all_of(options.begin(), options.end(), [this](const auto& option) {
               return !usually_ends_by(option.mean_hold, latest_exit_at());
           });
}

std::vector<candidate> node::candidates(const call_state& call) const
{
    std::vector<candidate> options;
    const auto own_hold = queue_.hold(call.route_config->name, queue_.mean_hold());
    if (own_backend_ && lends_backend(own_hold) && can_serve(*own_backend_, call) &&
        !is_evacuated(settings_.zone)) {
        candidate option;
        option.node = settings_.node;
        option.backend = own_backend_->id;
        option.release = own_backend_->release;
        option.same_zone = true;
        option.is_local = true;
        option.running = queue_.running();
        option.waiting = queue_.waiting();
        option.slots = queue_.slots();
        option.mean_hold = own_hold;
        option.hold_is_measured = queue_.knows_hold(call.route_config->name);
        option.failure_ratio = failure_ratio();
        option.last_attempt_at = own_attempted_at_;
        option.tried = call.tried_backends.contains(own_backend_->id);
        options.push_back(std::move(option));
    }
    for (const auto& [name, remote] : peers_.all()) {
        if (!remote.link || !remote.app || is_unresponsive(remote) ||
            !can_serve(*remote.app, call) || is_evacuated(zone_id{remote.record.zone})) {
            continue;
        }
        candidate option;
        option.node = name;
        option.backend = remote.app->id;
        option.release = remote.app->release;
        option.same_zone = in_own_zone(remote);
        option.running = remote.load.running + remote.load.sent_since;
        option.waiting = remote.load.waiting;
        option.slots = remote.app->slots;
        option.report_age = now_ - remote.load.reported_at;
        option.zone = zone_id{remote.record.zone};
        option.announces_free_slots =
            remote.announces_free_slots &&
            option.report_age < settings_.bounds.heartbeat_interval * max_trusted_heartbeats;
        option.mean_hold =
            remote.load.holds.mean_of(call.route_config->name, remote.load.mean_hold);
        option.hold_is_measured = remote.load.holds.has_values_of(call.route_config->name);
        if (remote.app->cold_until > now_) {
            option.mean_hold *= 2;
            option.slots = cold_slots(option, cold_rate(call.service));
        }
        if (remote.stopping && !usually_ends_by(option.mean_hold, remote.lends_until)) {
            continue;
        }
        option.failure_ratio = remote.load.failure_ratio;
        option.last_attempt_at = remote.attempted_at;
        option.tried = call.tried_backends.contains(remote.app->id);
        options.push_back(std::move(option));
    }
    return options;
}

double node::cross_zone_cost(const call_state& call) const
{
    constexpr double kilobyte = 1000;
    const auto known = mean_answer_bytes_.find(call.route_config->name);
    const double answer = known == mean_answer_bytes_.end() ? initial_answer_bytes : known->second;
    const auto request = static_cast<double>(call.content->body.size());
    return (answer + request + overhead_bytes) / kilobyte * cross_zone_cost_per_kb;
}

void node::update_mean_answer_size(const call_state& call, const answer& content)
{
    constexpr double sample_weight = 0.1;
    auto& mean =
        mean_answer_bytes_.try_emplace(call.route_config->name, content.body.size()).first->second;
    mean += (static_cast<double>(content.body.size()) - mean) * sample_weight;
}

void node::place(call_state& call)
{
    // The request may have been quarantined after it arrived.
    if (quarantine_time_left(call.fingerprint)) {
        fail_call(call, quarantine_reason);
        return;
    }
    auto options = candidates(call);
    if (options.empty()) {
        // During a roll-out only one of the two releases may have backend servers left.
        const auto target = rollouts_.running_target(call.service);
        call.release = call.release ? std::nullopt : target;
        options = candidates(call);
    }
    if (options.empty()) {
        fail_call(call, "no_backend");
        return;
    }
    placement_request placement;
    placement.objective_left = call.objective - now_;
    placement.crossing_cost = cross_zone_cost(call);
    placement.jitter = random_fraction();
    // Try owners that seem to have a free slot first; a wrong guess costs one short round trip.
    std::vector<candidate> with_free_slot;
    for (const auto& option : options) {
        const bool is_repeat = option.tried && options.size() > call.tried_backends.size();
        if (!is_repeat && may_have_free_slot(call, option)) {
            with_free_slot.push_back(option);
        }
    }
    auto chosen = choose_candidate(with_free_slot, placement);
    if (const auto probe = choose_probe(call, with_free_slot)) {
        chosen = probe;
    }
    if (const auto suggested = std::exchange(call.suggested_owner, std::nullopt)) {
        const auto option =
            std::find_if(with_free_slot.begin(), with_free_slot.end(),
                         [&](const candidate& entry) { return entry.node == *suggested; });
        if (option != with_free_slot.end()) {
            chosen = static_cast<std::size_t>(option - with_free_slot.begin());
        }
    }
    if (chosen && call.excluded_owners.empty() && call.refused_owners.size() < max_refusals) {
        send_attempt(call, with_free_slot[*chosen], false);
        return;
    }
    queue_at_best_owner(call, std::move(options), placement);
}

std::optional<std::size_t> node::choose_probe(const call_state& call,
                                              const std::vector<candidate>& options) const
{
    // A probe may take long: a stopping node sends none.
    if (stopping_ || call.backend_sends > 0 || !call.refused_owners.empty()) {
        return std::nullopt;
    }
    const auto nodes = static_cast<duration::rep>(peers_.all().size() + 1);
    const auto interval = std::clamp<duration>(probe_interval_per_node * nodes, min_probe_interval,
                                               max_probe_interval);
    const auto found = std::find_if(options.begin(), options.end(), [&](const candidate& option) {
        return now_ - option.last_attempt_at > interval &&
               is_avoided(option, options, call.route_config->objective, call.route_config->safe);
    });
    return found == options.end()
               ? std::nullopt
               : std::optional(static_cast<std::size_t>(found - options.begin()));
}

bool node::may_have_free_slot(const call_state& call, const candidate& option) const
{
    if (call.refused_owners.contains(option.node)) {
        return false;
    }
    if (call.suggested_owner == option.node) {
        return true;
    }
    if (!seems_free(option)) {
        return false;
    }
    if (option.same_zone) {
        return true;
    }
    const auto full = full_zones_.find({call.service, option.zone});
    return full == full_zones_.end() || now_ - full->second > full_zone_memory;
}

void node::queue_at_best_owner(call_state& call, std::vector<candidate> queues,
                               const placement_request& placement)
{
    std::erase_if(queues, [&](const candidate& option) {
        return call.excluded_owners.contains(option.node);
    });
    for (auto& option : queues) {
        const auto refused = call.refused_owners.find(option.node);
        if (refused != call.refused_owners.end()) {
            const auto per_slot =
                std::max(option.mean_hold / std::max(option.slots, 1), duration(1));
            option.report_age = {};
            option.running = std::max(option.running, option.slots);
            option.waiting = std::max(option.waiting, static_cast<int>(refused->second / per_slot));
        }
    }
    const auto best = choose_candidate(queues, placement);
    if (!best || call.excluded_owners.size() >= max_excluded_owners) {
        refuse_call(call, overload_reason);
        return;
    }
    send_attempt(call, queues[*best], true);
}

void node::send_attempt(call_state& call, const candidate& to, bool may_wait)
{
    attempt new_attempt;
    new_attempt.id = attempt_id{++last_attempt_};
    new_attempt.owner = to.node;
    new_attempt.backend = to.backend;
    new_attempt.release = to.release;
    new_attempt.started = now_;
    new_attempt.may_wait = may_wait;
    const auto id = new_attempt.id;
    const auto call_key = call.call;
    mesh_wire::run_request run_frame;
    run_frame.__set_call(static_cast<std::int64_t>(id.value()));
    run_frame.__set_backend(to.backend.value());
    run_frame.__set_route(call.route_config->name.value());
    run_frame.__set_caller_service(settings_.service.value());
    run_frame.__set_rank(call.rank);
    run_frame.__set_organisation(call.organisation.value());
    run_frame.__set_may_wait(may_wait);
    run_frame.__set_safe(call.route_config->safe);
    run_frame.__set_repeated(call.backend_sends > 0);
    run_frame.__set_content_print(static_cast<std::int64_t>(call.fingerprint.content));
    const auto time_left_ms =
        std::chrono::duration_cast<milliseconds>(call.deadline - now_).count();
    run_frame.__set_time_left_ms(static_cast<std::int32_t>(time_left_ms));
    const auto objective_left_ms =
        std::chrono::duration_cast<milliseconds>(call.objective - now_).count();
    run_frame.__set_objective_left_ms(static_cast<std::int32_t>(objective_left_ms));
    call.attempts.push_back(new_attempt);
    attempts_.emplace(id, call_key);
    if (to.node == settings_.node) {
        own_attempted_at_ = now_;
        offer_run({std::nullopt, id}, run_frame, call.content);
        return;
    }
    auto* owner = peers_.find(to.node);
    owner->unanswered_since = owner->unanswered_since.value_or(now_);
    ++owner->load.sent_since;
    owner->attempted_at = now_;
    run_frame.__set_method(call.content->method);
    run_frame.__set_target(call.content->target);
    run_frame.__set_head(call.content->head);
    run_frame.__set_request_id(call.content->id);
    mesh_wire::mesh_frame frame;
    frame.run = std::move(run_frame);
    frame.__isset.run = true;
    send_frame(*owner->link, std::move(frame), {call.content, &call.content->body});
}

void node::on_result(attempt_id id, const run_result& result)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto& call = calls_.at(found->second);
    attempts_.erase(found);
    const auto position = std::find_if(call.attempts.begin(), call.attempts.end(),
                                       [&](const attempt& entry) { return entry.id == id; });
    const auto finished = *position;
    call.attempts.erase(position);
    const std::int32_t status = result.content ? result.content->status : 0;
    if (result.outcome != mesh_wire::run_outcome::answered || status >= 500) {
        log(log_level::info, "attempt.not_served", call.content->id,
            {{"owner", finished.owner.value()},
             {"backend", finished.backend.value()},
             {"release", finished.release.value()},
             {"outcome", outcome_name(result.outcome)},
             {"print", text_of(call.fingerprint)},
             {"status", std::to_string(status)},
             {"reason", result.reason},
             {"wait_ms", format_ms(result.wait)},
             {"suggested", result.free_owner ? result.free_owner->value() : "none"},
             {"after_ms", format_ms(now_ - finished.started)},
             {"report_age_ms", format_ms(load_report_age(finished.owner))}});
    }
    if (result.outcome != mesh_wire::run_outcome::refused) {
        call.tried_backends.insert(finished.backend);
    }
    switch (result.outcome) {
    case mesh_wire::run_outcome::answered:
        if (result.content->status >= 500 && call.route_config->safe) {
            call.may_have_run = true;
            ++call.backend_sends;
            call.last_failed_answer = result.content;
            retry_or_fail(call, result, true);
            return;
        }
        ++counters_.delivered;
        record_latency(call, now_ > call.objective ? "late" : "in_time");
        if (now_ > call.objective) {
            log(log_level::info, "request.late", call.content->id,
                {{"route", call.route_config->name.value()},
                 {"service", call.service.value()},
                 {"owner", finished.owner.value()},
                 {"backend", finished.backend.value()},
                 {"release", finished.release.value()},
                 {"status", std::to_string(result.content->status)},
                 {"waited_before_ms",
                  format_ms(call.route_config->objective - (call.objective - call.arrived))},
                 {"attempt_ms", format_ms(now_ - finished.started)},
                 {"after_ms", format_ms(now_ - call.arrived)},
                 {"config_version", std::to_string(call.config->version().value())}});
        }
        update_mean_answer_size(call, *result.content);
        effects_.emplace_back(deliver_answer{call.call, result.content});
        cancel_attempts(call);
        end_call(call.call);
        return;
    case mesh_wire::run_outcome::refused:
        on_attempt_refused(call, finished, result);
        return;
    case mesh_wire::run_outcome::not_executed:
        ++call.backend_sends;
        retry_or_fail(call, result, true);
        return;
    case mesh_wire::run_outcome::failed:
        call.may_have_run = true;
        ++call.backend_sends;
        retry_or_fail(call, result, call.route_config->safe);
        return;
    }
}

void node::on_attempt_refused(call_state& call, const attempt& refused, const run_result& result)
{
    if (!call.attempts.empty()) {
        return;
    }
    call.refused_owners[refused.owner] = result.wait;
    call.suggested_owner = result.free_owner;
    call.last_reason = result.reason;
    if (result.reason == quarantine_reason) {
        fail_call(call, quarantine_reason);
        return;
    }
    if (refused.may_wait || result.reason != overload_reason) {
        call.excluded_owners.insert(refused.owner);
    }
    place(call);
}

bool node::try_reserve_retry(call_state& call, duration expected)
{
    // Attempts in progress may have reached their backend servers.
    const int reached = call.backend_sends + static_cast<int>(call.attempts.size());
    if (reached >= call.route_config->max_attempts || now_ + expected > call.deadline) {
        return false;
    }
    const auto nodes = static_cast<double>(peers_.all().size() + 1);
    const auto& bounds = settings_.bounds;
    auto& budget = retry_budgets_.try_emplace(call.service, bounds.budget_window).first->second;
    if (!budget.try_spend(bounds.retry_ratio * retry_budget_share,
                          bounds.retry_extra * retry_budget_share / nodes, now_)) {
        call.last_reason = "retry_budget";
        return false;
    }
    ++counters_.retries;
    return true;
}

void node::retry_or_fail(call_state& call, const run_result& result, bool allowed)
{
    call.last_reason = result.reason;
    if (!call.attempts.empty()) {
        return;
    }
    call.refused_owners.clear();
    call.excluded_owners.clear();
    // A request that failed on a new release is retried on the established one.
    call.release.reset();
    if (allowed && try_reserve_retry(call, queue_.mean_hold())) {
        place(call);
        return;
    }
    const bool shed = result.outcome == mesh_wire::run_outcome::not_executed;
    fail_call(call, shed ? "not_executed" : "failed");
}

bool node::is_overdue(const call_state& call) const
{
    if (!call.route_config->safe || call.attempts.size() != 1 ||
        call.excluded_owners.size() >= max_excluded_owners) {
        return false;
    }
    const auto& sent = call.attempts.front();
    const auto found = peers_.all().find(sent.owner);
    const bool is_own = sent.owner == settings_.node;
    if (!is_own && (found == peers_.all().end() || is_unresponsive(found->second))) {
        return true;
    }
    const auto hold = is_own ? queue_.hold(call.route_config->name, queue_.mean_hold())
                             : found->second.load.holds.mean_of(call.route_config->name,
                                                                found->second.load.mean_hold);
    const duration queue_allowance =
        sent.may_wait ? duration(call.route_config->objective) : duration{};
    return now_ - sent.started > hold * overdue_hold_factor + queue_allowance;
}

void node::hedge_overdue_calls()
{
    std::vector<call_id> overdue;
    for (const auto& [id, call] : calls_) {
        if (is_overdue(call)) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        const auto found = calls_.find(id);
        if (found != calls_.end()) {
            hedge_call(found->second);
        }
    }
}

void node::hedge_call(call_state& call)
{
    if (quarantine_time_left(call.fingerprint)) {
        return;
    }
    auto with_free_slot = candidates(call);
    std::erase_if(with_free_slot, [&](const candidate& option) {
        return option.node == call.attempts.front().owner ||
               option.failure_ratio >= max_hedge_failure_ratio ||
               expected_load(option) >= option.slots || option.tried;
    });
    placement_request placement;
    placement.objective_left = call.deadline - now_;
    placement.crossing_cost = cross_zone_cost(call);
    const auto best = choose_candidate(with_free_slot, placement);
    if (!best || !try_reserve_retry(call, with_free_slot[*best].mean_hold)) {
        return;
    }
    call.may_have_run = true;
    log(log_level::info, "request.hedged", call.content->id,
        {{"first_owner", call.attempts.front().owner.value()},
         {"second_owner", with_free_slot[*best].node.value()},
         {"after_ms", format_ms(now_ - call.attempts.front().started)}});
    send_attempt(call, with_free_slot[*best], false);
}

void node::fail_call(call_state& call, const std::string& reason)
{
    if (!call.may_have_run) {
        refuse_call(call, reason);
        return;
    }
    ++counters_.failed;
    record_latency(call, "failed");
    ++counters_.refusals_by_reason[reason];
    log(log_level::warning, "request.failed", call.content->id,
        {{"reason", reason},
         {"last", call.last_reason},
         {"route", call.route_config->name.value()},
         {"service", call.service.value()},
         {"arrivals", std::to_string(call.backend_sends)},
         {"after_ms", format_ms(now_ - call.arrived)},
         {"config_version", std::to_string(call.config->version().value())}});
    if (call.last_failed_answer) {
        effects_.emplace_back(deliver_answer{call.call, call.last_failed_answer});
    } else {
        const bool timed_out = now_ >= call.deadline;
        effects_.emplace_back(
            deliver_refusal{call.call, timed_out ? 504 : 502, reason, std::nullopt});
    }
    cancel_attempts(call);
    end_call(call.call);
}

void node::refuse_call(call_state& call, const std::string& reason)
{
    if (call.may_have_run) {
        fail_call(call, reason);
        return;
    }
    record_latency(call, "refused");
    ++counters_.refusals_by_reason[reason];
    duration wait = default_wait;
    for (const auto& [owner, owner_wait] : call.refused_owners) {
        wait = std::min(wait, owner_wait);
    }
    const auto client_time_left = call.client_deadline - now_;
    const bool may_return = wait <= client_time_left / max_wait_divisor;
    const auto jitter = duration(static_cast<duration::rep>(
        static_cast<double>((client_time_left / max_wait_divisor - wait).count()) *
        random_fraction()));
    const auto retry_after = quarantine_time_left(call.fingerprint)
                                 .value_or(may_return ? wait + jitter : client_time_left);
    log(log_level::warning, "request.refused", call.content->id,
        {{"reason", reason},
         {"last", call.last_reason},
         {"route", call.route_config->name.value()},
         {"service", call.service.value()},
         {"owners", std::to_string(call.refused_owners.size())},
         {"wait_ms", format_ms(wait)},
         {"retry_after_ms", format_ms(retry_after)},
         {"after_ms", format_ms(now_ - call.arrived)},
         {"config_version", std::to_string(call.config->version().value())}});
    effects_.emplace_back(deliver_refusal{call.call, 503, reason,
                                          std::chrono::duration_cast<milliseconds>(retry_after)});
    cancel_attempts(call);
    end_call(call.call);
}

void node::give_up_call(call_id id, const std::string& reason)
{
    auto& call = calls_.at(id);
    for (const auto& sent : call.attempts) {
        // Another owner may have started the run. The local owner has started it if it was sent.
        const auto run = find_run({std::nullopt, sent.id});
        const bool waits_here =
            sent.owner == settings_.node && run != runs_.end() && !run->second.sent;
        call.may_have_run = call.may_have_run || !waits_here;
    }
    fail_call(call, reason);
}

duration node::load_report_age(const node_id& owner) const
{
    const auto found = peers_.all().find(owner);
    return found == peers_.all().end() ? duration{} : now_ - found->second.load.reported_at;
}

void node::record_latency(const call_state& call, const char* outcome)
{
    counters_.latencies[{call.service, call.route_config->name, outcome}].add(now_ - call.arrived);
}

void node::cancel_attempts(call_state& call)
{
    for (const auto& sent : call.attempts) {
        attempts_.erase(sent.id);
        if (sent.owner == settings_.node) {
            cancel_run({std::nullopt, sent.id});
            continue;
        }
        auto* owner = peers_.find(sent.owner);
        if (owner != nullptr && owner->link) {
            mesh_wire::cancel_run cancel;
            cancel.__set_call(static_cast<std::int64_t>(sent.id.value()));
            mesh_wire::mesh_frame frame;
            frame.__set_cancel(cancel);
            send_frame(*owner->link, std::move(frame));
        }
    }
    call.attempts.clear();
}

void node::end_call(call_id id)
{
    const auto found = calls_.find(id);
    call_deadlines_.erase(found->second.deadline_entry);
    calls_.erase(found);
}

} // namespace camphor::mesh
