// The requests of the clients on this machine: route, place, retry, refuse.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>
#include <limits>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Owners that are asked for a free slot before the call waits at one.
constexpr std::size_t most_refusals = 4;
/// An answer is overdue after this many times the usual; of the usual work a few in a hundred take
/// longer.
constexpr int overdue_holds = 3;
/// Nearly all requests end within this many times the usual.
constexpr int usual_holds = 2;
/// Owners that fail more than this part get no second attempts.
constexpr double worst_hedge = 0.3;
/// Owners that are asked for a place in their queue.
constexpr std::size_t most_full = 3;
/// Value of a request that a kilobyte between zones costs; operators of both meshes price it so.
constexpr double crossing_kilobyte_cost = 0.03;
/// Bytes of a request, its answer's head and their frames.
constexpr double head_bytes = 500;
/// Assumed size of a route's answers before the first.
constexpr double first_answer_bytes = 1500;
/// Part of the mesh's retry budget that the nodes spend: the calls that a repeated run makes count
/// as repeats too, one or two a run, and cannot be told from others.
constexpr double budget_part = 0.3;
/// Clients come back after at most this part of the time that they have left.
constexpr int return_part = 3;
/// Clients of one route differ in patience by up to this part of the longest, seen on first
/// attempts of both meshes; one with less left is back after a refusal.
constexpr int patience_spread_percent = 15;
/// Named to clients when nothing is known of the time until a request could be served.
constexpr auto unknown_wait = 1s;
/// Named to clients of a node that cannot route yet or any more: a start takes some hundred ms.
constexpr milliseconds early_refusal_wait{500};

std::string name_of(mesh_wire::run_outcome::type outcome)
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

void node::take(const client_request& happened)
{
    ++counters_.requests;
    const auto& content = *happened.content;
    const auto refuse_early = [&](std::int32_t status, const std::string& reason,
                                  duration wait = early_refusal_wait) {
        ++counters_.refusals_by_reason[reason];
        log(log_level::warning, "request.refused", content.id,
            {{"reason", reason},
             {"host", content.host},
             {"target", content.target},
             {"status", std::to_string(status)},
             {"config_version", std::to_string(config_ ? config_->version().value() : 0)}});
        std::optional<milliseconds> retry_after;
        if (status == 503) {
            retry_after = std::chrono::duration_cast<milliseconds>(wait);
        }
        out_.emplace_back(deliver_refusal{happened.call, status, reason, retry_after});
    };
    if (told_stopped_) {
        refuse_early(503, "stopping");
        return;
    }
    if (!config_) {
        refuse_early(503, "no_configuration");
        return;
    }
    const auto* way = config_->match(content.host, content.target);
    if (way == nullptr) {
        refuse_early(404, "no_route");
        return;
    }
    const auto print = print_of(content, settings_.service);
    if (const auto left = quarantine_left(print)) {
        refuse_early(503, quarantine_reason, *left);
        return;
    }
    call_state call;
    call.call = happened.call;
    call.content = happened.content;
    call.print = print;
    call.config = config_;
    call.way = way;
    call.arrived = now_;
    const auto patience = happened.patience.value_or(way->timeout);
    call.client_deadline = now_ + patience;
    call.deadline = now_ + std::min<duration>(patience, way->timeout);
    call.objective = now_ + way->objective - waited_before(*way, patience);
    call.service = choose_service(*way);
    call.release = rollouts_.choose(call.service, random_part(), now_);
    if (may_outlast_stop(call)) {
        refuse_early(503, "stopping");
        return;
    }
    auto& budget = budgets_.try_emplace(call.service, settings_.bounds.budget_window).first->second;
    budget.on_request(now_);
    call.timer = timers_.emplace(call.deadline, call.call);
    auto& stored = calls_.emplace(call.call, std::move(call)).first->second;
    place(stored);
}

void node::take(const client_gone& happened)
{
    const auto found = calls_.find(happened.call);
    if (found == calls_.end()) {
        return;
    }
    log(log_level::info, "request.client_gone", found->second.content->id,
        {{"after_ms", millis(now_ - found->second.arrived)}});
    drop_attempts(found->second);
    end_call(happened.call);
}

duration node::waited_before(const route& way, milliseconds patience)
{
    auto& full = full_patience_.try_emplace(way.name, patience).first->second;
    full = std::max(full, patience);
    const auto spread = duration(full) * patience_spread_percent / 100;
    if (patience >= full - spread) {
        return {};
    }
    return std::max(duration{}, full - spread / 2 - patience);
}

service_id node::choose_service(const route& way)
{
    if (way.targets.size() == 1) {
        return way.targets.front().service;
    }
    // Smooth weighted round robin keeps each share exact over short spans.
    auto& credit = credits_[way.name];
    double sum = 0;
    const weighted_service* best = nullptr;
    for (const auto& item : way.targets) {
        sum += item.weight;
        if (!credit.contains(item.service)) {
            credit[item.service] = random_part() * item.weight;
        }
        credit[item.service] += item.weight;
        if (item.weight > 0 && (best == nullptr || credit[item.service] > credit[best->service])) {
            best = &item;
        }
    }
    credit[best->service] -= sum;
    return best->service;
}

bool node::fits(const backend& app, const call_state& call) const
{
    if (app.service != call.service || !app.takes_work()) {
        return false;
    }
    return rollouts_.allows(app.service, app.release, call.release);
}

bool node::may_outlast_stop(const call_state& call) const
{
    if (!stopping_ || call.deadline <= stops_at()) {
        return false;
    }
    if (now_ >= notice_ends_at()) {
        return true;
    }
    // Clients do not know of the stop yet: what usually ends in time is served.
    const auto all = candidates(call);
    return !all.empty() && std::all_of(all.begin(), all.end(), [this](const auto& item) {
        return now_ + item.hold * usual_holds > stops_at();
    });
}

std::vector<candidate> node::candidates(const call_state& call) const
{
    std::vector<candidate> out;
    if (own_ && !stopping_ && fits(*own_, call)) {
        candidate item;
        item.node = settings_.node;
        item.backend = own_->id;
        item.release = own_->release;
        item.same_zone = true;
        item.is_own = true;
        item.running = queue_.running();
        item.waiting = queue_.waiting();
        item.slots = queue_.slots();
        item.hold = queue_.hold(call.way->name, queue_.mean_hold());
        item.failing = failing_;
        item.tried = call.tried.contains(own_->id);
        out.push_back(std::move(item));
    }
    for (const auto& [name, other] : peers_.all()) {
        if (!other.link || !other.app || other.stopping || is_silent(other) ||
            !fits(*other.app, call)) {
            continue;
        }
        candidate item;
        item.node = name;
        item.backend = other.app->id;
        item.release = other.app->release;
        item.same_zone = in_own_zone(other);
        item.running = other.space.running + other.space.sent_since;
        item.waiting = other.space.waiting;
        item.slots = other.app->slots;
        item.age = now_ - other.space.reported_at;
        item.hold = other.space.holds.of(call.way->name, other.space.mean_hold);
        if (other.app->cold_until > now_) {
            item.hold *= 2;
        }
        item.failing = other.space.failing;
        item.tried = call.tried.contains(other.app->id);
        out.push_back(std::move(item));
    }
    return out;
}

double node::crossing_cost(const call_state& call) const
{
    constexpr double kilobyte = 1000;
    const auto known = answer_bytes_.find(call.way->name);
    const double answer = known == answer_bytes_.end() ? first_answer_bytes : known->second;
    const auto request = static_cast<double>(call.content->body.size());
    return (answer + request + head_bytes) / kilobyte * crossing_kilobyte_cost;
}

void node::learn_size(const call_state& call, const answer& content)
{
    constexpr double newest_part = 0.1;
    auto& mean = answer_bytes_.try_emplace(call.way->name, content.body.size()).first->second;
    mean += (static_cast<double>(content.body.size()) - mean) * newest_part;
}

void node::place(call_state& call)
{
    // Others may have ended under it since it came.
    if (quarantine_left(call.print)) {
        give_up(call, quarantine_reason);
        return;
    }
    auto all = candidates(call);
    if (all.empty()) {
        // Only one release of a service in a roll-out may have backend servers left.
        const auto target = rollouts_.running_target(call.service);
        call.release = call.release ? std::nullopt : target;
        all = candidates(call);
    }
    if (all.empty()) {
        give_up(call, "no_backend");
        return;
    }
    placement_request wanted;
    wanted.objective_left = call.objective - now_;
    wanted.crossing_cost = crossing_cost(call);
    wanted.jitter = random_part();
    // First those that seem to have a free slot; a wrong guess costs one short exchange.
    std::vector<candidate> open;
    for (const auto& item : all) {
        const bool free = expected_load(item) < item.slots;
        const bool again = item.tried && all.size() > call.tried.size();
        if (free && !again && !call.refused_by.contains(item.node)) {
            open.push_back(item);
        }
    }
    const auto chosen = choose(open, wanted);
    if (chosen && call.full.empty() && call.refused_by.size() < most_refusals) {
        send(call, open[*chosen], false);
        return;
    }
    wait_somewhere(call, std::move(all), wanted);
}

void node::wait_somewhere(call_state& call, std::vector<candidate> queues,
                          const placement_request& wanted)
{
    std::erase_if(queues, [&](const candidate& item) { return call.full.contains(item.node); });
    for (auto& item : queues) {
        const auto refused = call.refused_by.find(item.node);
        if (refused != call.refused_by.end()) {
            const auto per_slot = std::max(item.hold / std::max(item.slots, 1), duration(1));
            item.age = {};
            item.running = std::max(item.running, item.slots);
            item.waiting = std::max(item.waiting, static_cast<int>(refused->second / per_slot));
        }
    }
    const auto best = choose(queues, wanted);
    if (!best || call.full.size() >= most_full) {
        refuse(call, "overload");
        return;
    }
    send(call, queues[*best], true);
}

void node::send(call_state& call, const candidate& to, bool may_wait)
{
    attempt made;
    made.id = attempt_id{++last_attempt_};
    made.owner = to.node;
    made.backend = to.backend;
    made.release = to.release;
    made.started = now_;
    made.may_wait = may_wait;
    const auto id = made.id;
    const auto call_key = call.call;
    mesh_wire::run_request wanted;
    wanted.__set_call(static_cast<std::int64_t>(id.value()));
    wanted.__set_backend(to.backend.value());
    wanted.__set_route(call.way->name.value());
    wanted.__set_caller_service(settings_.service.value());
    wanted.__set_rank(call.way->priority);
    wanted.__set_may_wait(may_wait);
    wanted.__set_safe(call.way->safe);
    wanted.__set_repeated(call.arrivals > 0);
    wanted.__set_content_print(static_cast<std::int64_t>(call.print.content));
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - now_).count();
    wanted.__set_time_left_ms(static_cast<std::int32_t>(left));
    const auto objective = std::chrono::duration_cast<milliseconds>(call.objective - now_).count();
    wanted.__set_objective_left_ms(static_cast<std::int32_t>(objective));
    call.attempts.push_back(made);
    attempts_.emplace(id, call_key);
    if (to.node == settings_.node) {
        offer_run({std::nullopt, id}, wanted, call.content);
        return;
    }
    auto* owner = peers_.find(to.node);
    owner->asked_at = owner->asked_at.value_or(now_);
    ++owner->space.sent_since;
    wanted.__set_method(call.content->method);
    wanted.__set_target(call.content->target);
    wanted.__set_head(call.content->head);
    wanted.__set_body(call.content->body);
    wanted.__set_request_id(call.content->id);
    mesh_wire::mesh_frame frame;
    frame.run = std::move(wanted);
    frame.__isset.run = true;
    send_frame(*owner->link, std::move(frame));
}

void node::on_result(attempt_id id, const run_result& result)
{
    const auto known = attempts_.find(id);
    if (known == attempts_.end()) {
        return;
    }
    auto& call = calls_.at(known->second);
    attempts_.erase(known);
    const auto position = std::find_if(call.attempts.begin(), call.attempts.end(),
                                       [&](const attempt& item) { return item.id == id; });
    const auto tried = *position;
    call.attempts.erase(position);
    const std::int32_t status = result.content ? result.content->status : 0;
    if (result.outcome != mesh_wire::run_outcome::answered || status >= 500) {
        log(log_level::info, "attempt.not_served", call.content->id,
            {{"owner", tried.owner.value()},
             {"backend", tried.backend.value()},
             {"release", tried.release.value()},
             {"outcome", name_of(result.outcome)},
             {"print", text_of(call.print)},
             {"status", std::to_string(status)},
             {"reason", result.reason},
             {"wait_ms", millis(result.wait)},
             {"after_ms", millis(now_ - tried.started)},
             {"report_age_ms", millis(report_age(tried.owner))}});
    }
    if (result.outcome != mesh_wire::run_outcome::refused) {
        call.tried.insert(tried.backend);
    }
    switch (result.outcome) {
    case mesh_wire::run_outcome::answered:
        if (result.content->status >= 500 && call.way->safe) {
            call.may_have_run = true;
            ++call.arrivals;
            call.failed_answer = result.content;
            try_again(call, result, true);
            return;
        }
        ++counters_.delivered;
        note_end(call, now_ > call.objective ? "late" : "in_time");
        if (now_ > call.objective) {
            log(log_level::info, "request.late", call.content->id,
                {{"route", call.way->name.value()},
                 {"service", call.service.value()},
                 {"owner", tried.owner.value()},
                 {"backend", tried.backend.value()},
                 {"release", tried.release.value()},
                 {"status", std::to_string(result.content->status)},
                 {"waited_before_ms",
                  millis(call.way->objective - (call.objective - call.arrived))},
                 {"attempt_ms", millis(now_ - tried.started)},
                 {"after_ms", millis(now_ - call.arrived)},
                 {"config_version", std::to_string(call.config->version().value())}});
        }
        learn_size(call, *result.content);
        out_.emplace_back(deliver_answer{call.call, result.content});
        drop_attempts(call);
        end_call(call.call);
        return;
    case mesh_wire::run_outcome::refused:
        on_refused(call, tried, result);
        return;
    case mesh_wire::run_outcome::not_executed:
        ++call.arrivals;
        try_again(call, result, true);
        return;
    case mesh_wire::run_outcome::failed:
        call.may_have_run = true;
        ++call.arrivals;
        try_again(call, result, call.way->safe);
        return;
    }
}

void node::on_refused(call_state& call, const attempt& tried, const run_result& result)
{
    if (!call.attempts.empty()) {
        return;
    }
    call.refused_by[tried.owner] = result.wait;
    call.last_reason = result.reason;
    if (result.reason == quarantine_reason) {
        give_up(call, quarantine_reason);
        return;
    }
    if (tried.may_wait || result.reason != "overload") {
        call.full.insert(tried.owner);
    }
    place(call);
}

bool node::may_retry(call_state& call, duration expected)
{
    // Attempts under way may have reached their backend servers.
    const int reached = call.arrivals + static_cast<int>(call.attempts.size());
    if (reached >= call.way->max_attempts || now_ + expected > call.deadline) {
        return false;
    }
    const auto nodes = static_cast<double>(peers_.all().size() + 1);
    const auto& bounds = settings_.bounds;
    auto& budget = budgets_.try_emplace(call.service, bounds.budget_window).first->second;
    if (!budget.try_spend(bounds.retry_ratio * budget_part,
                          bounds.retry_extra * budget_part / nodes, now_)) {
        call.last_reason = "retry_budget";
        return false;
    }
    ++counters_.retries;
    return true;
}

void node::try_again(call_state& call, const run_result& result, bool allowed)
{
    call.last_reason = result.reason;
    if (!call.attempts.empty()) {
        return;
    }
    call.refused_by.clear();
    call.full.clear();
    // What an unproven release failed is tried again at the proven one.
    call.release.reset();
    if (allowed && may_retry(call, queue_.mean_hold())) {
        place(call);
        return;
    }
    const bool shed = result.outcome == mesh_wire::run_outcome::not_executed;
    give_up(call, shed ? "not_executed" : "failed");
}

bool node::is_overdue(const call_state& call) const
{
    if (!call.way->safe || call.attempts.size() != 1 || call.full.size() >= most_full) {
        return false;
    }
    const auto& sent = call.attempts.front();
    const auto found = peers_.all().find(sent.owner);
    const bool own = sent.owner == settings_.node;
    if (!own && (found == peers_.all().end() || is_silent(found->second))) {
        return true;
    }
    const auto hold =
        own ? queue_.hold(call.way->name, queue_.mean_hold())
            : found->second.space.holds.of(call.way->name, found->second.space.mean_hold);
    const duration queued = sent.may_wait ? duration(call.way->objective) : duration{};
    return now_ - sent.started > hold * overdue_holds + queued;
}

void node::hedge_overdue()
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
            hedge(found->second);
        }
    }
}

void node::hedge(call_state& call)
{
    if (quarantine_left(call.print)) {
        return;
    }
    auto free = candidates(call);
    std::erase_if(free, [&](const candidate& item) {
        return item.node == call.attempts.front().owner || item.failing >= worst_hedge ||
               expected_load(item) >= item.slots || item.tried;
    });
    placement_request wanted;
    wanted.objective_left = call.deadline - now_;
    wanted.crossing_cost = crossing_cost(call);
    const auto best = choose(free, wanted);
    if (!best || !may_retry(call, free[*best].hold)) {
        return;
    }
    call.may_have_run = true;
    log(log_level::info, "request.hedged", call.content->id,
        {{"first_owner", call.attempts.front().owner.value()},
         {"second_owner", free[*best].node.value()},
         {"after_ms", millis(now_ - call.attempts.front().started)}});
    send(call, free[*best], false);
}

void node::give_up(call_state& call, const std::string& reason)
{
    if (!call.may_have_run) {
        refuse(call, reason);
        return;
    }
    ++counters_.failed;
    note_end(call, "failed");
    ++counters_.refusals_by_reason[reason];
    log(log_level::warning, "request.failed", call.content->id,
        {{"reason", reason},
         {"last", call.last_reason},
         {"route", call.way->name.value()},
         {"service", call.service.value()},
         {"arrivals", std::to_string(call.arrivals)},
         {"after_ms", millis(now_ - call.arrived)},
         {"config_version", std::to_string(call.config->version().value())}});
    if (call.failed_answer) {
        out_.emplace_back(deliver_answer{call.call, call.failed_answer});
    } else {
        const bool timed_out = now_ >= call.deadline;
        out_.emplace_back(deliver_refusal{call.call, timed_out ? 504 : 502, reason, std::nullopt});
    }
    drop_attempts(call);
    end_call(call.call);
}

void node::refuse(call_state& call, const std::string& reason)
{
    if (call.may_have_run) {
        give_up(call, reason);
        return;
    }
    note_end(call, "refused");
    ++counters_.refusals_by_reason[reason];
    duration wait = unknown_wait;
    for (const auto& [owner, named] : call.refused_by) {
        wait = std::min(wait, named);
    }
    const auto left = call.client_deadline - now_;
    const bool may_return = wait <= left / return_part;
    const auto spread = duration(static_cast<duration::rep>(
        static_cast<double>((left / return_part - wait).count()) * random_part()));
    const auto after = quarantine_left(call.print).value_or(may_return ? wait + spread : left);
    log(log_level::warning, "request.refused", call.content->id,
        {{"reason", reason},
         {"last", call.last_reason},
         {"route", call.way->name.value()},
         {"service", call.service.value()},
         {"owners", std::to_string(call.refused_by.size())},
         {"wait_ms", millis(wait)},
         {"retry_after_ms", millis(after)},
         {"after_ms", millis(now_ - call.arrived)},
         {"config_version", std::to_string(call.config->version().value())}});
    out_.emplace_back(
        deliver_refusal{call.call, 503, reason, std::chrono::duration_cast<milliseconds>(after)});
    drop_attempts(call);
    end_call(call.call);
}

void node::on_call_due(call_id id)
{
    auto& call = calls_.at(id);
    for (const auto& item : call.attempts) {
        // Another owner may have started it; the own one has when it is sent.
        const auto run = find_run({std::nullopt, item.id});
        const bool waits_here =
            item.owner == settings_.node && run != runs_.end() && !run->second.sent;
        call.may_have_run = call.may_have_run || !waits_here;
    }
    give_up(call, "deadline");
}

duration node::report_age(const node_id& owner) const
{
    const auto found = peers_.all().find(owner);
    return found == peers_.all().end() ? duration{} : now_ - found->second.space.reported_at;
}

void node::note_end(const call_state& call, const char* outcome)
{
    counters_.latencies[{call.service, call.way->name, outcome}].add(now_ - call.arrived);
}

void node::drop_attempts(call_state& call)
{
    for (const auto& item : call.attempts) {
        attempts_.erase(item.id);
        if (item.owner == settings_.node) {
            cancel_run({std::nullopt, item.id});
            continue;
        }
        auto* owner = peers_.find(item.owner);
        if (owner != nullptr && owner->link) {
            mesh_wire::cancel_run order;
            order.__set_call(static_cast<std::int64_t>(item.id.value()));
            mesh_wire::mesh_frame frame;
            frame.__set_cancel(order);
            send_frame(*owner->link, std::move(frame));
        }
    }
    call.attempts.clear();
}

void node::end_call(call_id id)
{
    const auto found = calls_.find(id);
    timers_.erase(found->second.timer);
    calls_.erase(found);
}

} // namespace camphor::mesh
