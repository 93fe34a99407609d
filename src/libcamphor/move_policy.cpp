// Stages, evidence and outcome of one move.
#include <camphortally/move_policy.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace camphor {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::int32_t full_share = 1000;
/// Kept free before the deadline for the platform's answers: a part of the whole time, in bounds.
constexpr double margin_part = 0.08;
constexpr milliseconds least_margin = 4s;
constexpr milliseconds greatest_margin = 60s;
/// A completion is not asked for later than this before the deadline; the writer may take so long.
constexpr milliseconds last_moment = 3'500ms;
constexpr milliseconds least_stage = 1'200ms;
/// Evidence of this part of the threshold keeps the share where it is.
constexpr double suspicion = 0.5;
/// The same for a route or zone.
constexpr double part_suspicion = 0.75;
/// Probability of being worse at which a stage or the soak does not pass.
constexpr double greatest_doubt = 0.9;
/// The same for the whole traffic at the end of the soak, the last look there is.
constexpr double greatest_final_doubt = 0.6;
/// The same for a route or zone: there are many, and each has few calls.
constexpr double greatest_part_doubt = 0.99;
constexpr double least_judged_calls = 100;
constexpr double least_soak_calls = 50;
/// A slow start is excused again only while the slow part of the calls falls to this part.
constexpr double improvement = 0.8;
/// No stage ends within this time after a slow start was excused.
constexpr milliseconds excuse_pause = 2s;
/// Cold start allowed for where the upstream declares none: at most this part of the whole time.
constexpr milliseconds default_cold_start = 5s;
constexpr double cold_start_part = 0.15;
constexpr const char* whole_traffic = "all";

constexpr std::array symptoms{symptom::failures, symptom::slow_median, symptom::slow_tail};

double as_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

milliseconds part_of(milliseconds whole, double part)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(whole.count()) * part));
}

json side_to_json(const call_evidence& side)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.95;
    return {{"calls", side.calls()},
            {"failures", side.failures},
            {"overloaded", side.overloaded},
            {"p50_ms", as_ms(side.latency.quantile(median))},
            {"p95_ms", as_ms(side.latency.quantile(tail))}};
}

} // namespace

move_policy::move_policy(move_spec spec, duration cold_start)
    : spec_(std::move(spec)), cold_start_(std::chrono::duration_cast<milliseconds>(cold_start))
{
    build_stages();
    slice(whole_traffic);
}

std::string move_policy::describe(const finding& found)
{
    constexpr std::array texts{"fails more often than", "is slower at the median than",
                               "is slower at the 95th percentile than"};
    return std::string(texts.at(static_cast<std::size_t>(found.kind))) + " the old one (" +
           found.item->name + ")";
}

void move_policy::build_stages()
{
    const std::vector<stage_rule> ladder{{spec_.unproven_share, 0.4, 40, 0.05},
                                         {permille{200}, 0.2, 60, 0.04},
                                         {permille{500}, 0.2, 90, 0.03},
                                         {permille{900}, 0.2, 120, 0.03},
                                         {permille{full_share}, 0, 0, 0}};
    stages_.clear();
    for (const auto& entry : ladder) {
        if (stages_.empty() || entry.share > stages_.back().share) {
            stages_.push_back(entry);
        }
    }
}

void move_policy::set_move(const move_spec& spec, const move_status& status, wall_time now)
{
    spec_ = spec;
    const bool moved = status.stage != status_.stage || status.share != status_.share;
    status_ = status;
    build_stages();
    if (status_.changed_at == wall_time{}) {
        status_.changed_at = now;
    }
    if (span_ == 0ms) {
        span_ = spec_.deadline - status_.changed_at;
        if (cold_start_ == 0ms) {
            cold_start_ = std::min(default_cold_start, part_of(span_, cold_start_part));
        }
    }
    restore_reference();
    if (moved) {
        for (auto& [name, item] : slices_) {
            item.slice.mark();
        }
    }
}

void move_policy::restore_reference()
{
    if (status_.evidence.empty()) {
        return;
    }
    const auto document = json::parse(status_.evidence, nullptr, false);
    if (!document.is_object() || !document.contains("old")) {
        return;
    }
    const auto& old_side = document.at("old");
    const trial_counts failures{old_side.value("calls", 0.0), old_side.value("failures", 0.0)};
    const auto median_limit = from_ms(document.value("slow_median_ms", 0.0));
    const auto tail_limit = from_ms(document.value("slow_tail_ms", 0.0));
    slice(whole_traffic).slice.set_reference(failures, median_limit, tail_limit);
}

move_policy::judged_slice& move_policy::slice(const std::string& name)
{
    const auto [found, created] = slices_.try_emplace(name);
    if (created) {
        found->second.name = name;
    }
    return found->second;
}

void move_policy::observe(const evidence_key& key, const call_evidence& seen)
{
    for (const auto& name :
         {std::string(whole_traffic), "route " + key.route.value(), "zone " + key.zone.value()}) {
        auto& item = slice(name);
        (key.side == release_side::new_release ? item.new_window : item.old_window).add(seen);
    }
}

void move_policy::proxy_stopped(const std::string& reason)
{
    if (!stopped_reason_) {
        stopped_reason_ = reason;
    }
}

void move_policy::add_outage(milliseconds span)
{
    interrupted_ = true;
    status_.changed_at += span;
}

thin_evidence move_policy::on_thin_evidence() const
{
    return interrupted_ ? thin_evidence::revert : spec_.on_thin_evidence;
}

void move_policy::close_window()
{
    for (auto& [name, item] : slices_) {
        item.slice.add_window(item.old_window, item.new_window);
        item.old_window = {};
        item.new_window = {};
    }
}

move_decision move_policy::decide(wall_time now)
{
    close_window();
    if (is_final(status_.phase)) {
        return {};
    }
    if (status_.stage == 0) {
        if (now + least_stage * 4 > soak_start()) {
            return end(move_action::refuse, "the deadline leaves no time for the stages and a soak "
                                            "of " +
                                                std::to_string(spec_.soak / 1ms) + " ms");
        }
        return next_stage(1, "first stage");
    }
    if (status_.stage == 1 && now < status_.changed_at + cold_start_) {
        restart_latency();
    }
    if (auto worse = check_worse(now)) {
        return *worse;
    }
    if (now >= spec_.deadline) {
        return end(move_action::revert, "the deadline passed before the move was completed");
    }
    return is_full() ? decide_soak(now) : decide_stage(now);
}

std::optional<move_decision> move_policy::check_worse(wall_time now)
{
    for (auto& [name, item] : slices_) {
        const auto kind = item.slice.worst();
        if (!item.slice.comparison(kind).is_worse()) {
            continue;
        }
        if (kind != symptom::failures && excuse_slow_start(item, now)) {
            continue;
        }
        return end(move_action::revert, "the new release " + describe({&item, kind}), item);
    }
    if (stopped_reason_) {
        return end(move_action::revert,
                   "a proxy stopped sending to the new release: " + *stopped_reason_);
    }
    return std::nullopt;
}

bool move_policy::excuse_slow_start(const judged_slice& item, wall_time now)
{
    if (status_.stage != 1) {
        return false;
    }
    const auto& slow = item.slice.comparison(item.slice.worst());
    const double ratio = slow.new_since_mark().ratio();
    if (excused_at_ && ratio >= improvement * excused_ratio_) {
        return false;
    }
    excused_ratio_ = ratio;
    excused_at_ = now;
    restart_latency();
    return true;
}

void move_policy::restart_latency()
{
    for (auto& [name, item] : slices_) {
        item.slice.restart_latency();
    }
}

bool move_policy::is_thin() const
{
    const auto& failures = slices_.at(whole_traffic).slice.comparison(symptom::failures);
    const double before =
        status_.stage > 1 ? stages_.at(static_cast<std::size_t>(status_.stage) - 2).least_calls : 0;
    const bool has_own_calls =
        !interrupted_ || failures.new_since_mark().calls >= rule().least_calls - before;
    return !has_own_calls || failures.new_total().calls < rule().least_calls ||
           failures.excess_bound() > rule().excess_bound;
}

move_decision move_policy::decide_stage(wall_time now)
{
    const bool thin = is_thin();
    const auto worse = probably_worse();
    const auto doubt = worse ? worse : suspicious();
    const bool paused = excused_at_ && now < *excused_at_ + excuse_pause;
    if (!thin && !doubt && !paused && now >= stage_end()) {
        return next_stage(status_.stage + 1, "as good as the old release so far");
    }
    if (now < latest_stage_end()) {
        return {};
    }
    // A route or zone that is only suspicious is left to the test, which goes on.
    if (doubt && (worse || doubt->item->name == whole_traffic)) {
        return end(move_action::revert,
                   "in doubt at the last moment: the new release " + describe(*doubt),
                   *doubt->item);
    }
    return answer_thin("too little traffic to judge the new release");
}

move_decision move_policy::answer_thin(const std::string& why)
{
    if (on_thin_evidence() == thin_evidence::revert) {
        return end(move_action::revert, why);
    }
    // One stage at a time: what shows only under more traffic still shows at a part of it.
    return next_stage(status_.stage + 1, why + "; goes on as set");
}

move_decision move_policy::decide_soak(wall_time now)
{
    const auto& failures = slice(whole_traffic).slice.comparison(symptom::failures);
    if (now < status_.changed_at + std::chrono::duration_cast<milliseconds>(spec_.soak)) {
        return {};
    }
    if (now > spec_.deadline - last_moment) {
        return end(move_action::revert, "no time left to complete before the deadline");
    }
    if (const auto worse = probably_worse()) {
        return end(move_action::revert,
                   "after the soak the new release probably " + describe(*worse), *worse->item);
    }
    if (suspicious()) {
        return {};
    }
    if (failures.new_since_mark().calls >= least_soak_calls) {
        return end(move_action::complete, "as good as the old release after the soak");
    }
    if (on_thin_evidence() == thin_evidence::complete) {
        return end(move_action::complete, "too little traffic to judge the new release; completed "
                                          "as set");
    }
    if (now < finish_time()) {
        return {};
    }
    return end(move_action::revert, "too little traffic to judge the new release");
}

std::optional<move_policy::finding> move_policy::probably_worse() const
{
    for (const auto& [name, item] : slices_) {
        const double whole = is_full() ? greatest_final_doubt : greatest_doubt;
        const double limit = name == whole_traffic ? whole : greatest_part_doubt;
        for (const auto kind : symptoms) {
            const auto& comparison = item.slice.comparison(kind);
            if (comparison.probability_worse(least_judged_calls) > limit) {
                return finding{&item, kind};
            }
        }
    }
    return std::nullopt;
}

std::optional<move_policy::finding> move_policy::suspicious() const
{
    for (const auto& [name, item] : slices_) {
        const auto kind = item.slice.worst();
        const double limit = name == whole_traffic ? suspicion : part_suspicion;
        if (item.slice.comparison(kind).strength() >= limit) {
            return finding{&item, kind};
        }
    }
    return std::nullopt;
}

move_decision move_policy::next_stage(std::int32_t stage, std::string reason)
{
    const auto& all = slice(whole_traffic);
    const auto& entry = stages_.at(static_cast<std::size_t>(stage) - 1);
    return {move_action::set_share, entry.share, stage, std::move(reason), evidence_of(all)};
}

move_decision move_policy::end(move_action action, std::string reason) const
{
    return end(action, std::move(reason), slices_.at(whole_traffic));
}

move_decision move_policy::end(move_action action, std::string reason,
                               const judged_slice& item) const
{
    const permille share{action == move_action::complete ? full_share : 0};
    return {action, share, status_.stage, std::move(reason), evidence_of(item)};
}

std::string move_policy::evidence_of(const judged_slice& item) const
{
    const auto kind = item.slice.worst();
    const auto& comparison = item.slice.comparison(kind);
    const json document{{"slice", item.name},
                        {"symptom", to_string(kind)},
                        {"strength", comparison.strength()},
                        {"tolerated_ratio", comparison.tolerated_ratio()},
                        {"slow_median_ms", as_ms(item.slice.median_limit())},
                        {"slow_tail_ms", as_ms(item.slice.tail_limit())},
                        {"old", side_to_json(item.slice.old_total())},
                        {"new", side_to_json(item.slice.new_total())}};
    return document.dump();
}

wall_time move_policy::finish_time() const
{
    return spec_.deadline - std::clamp(part_of(span_, margin_part), least_margin, greatest_margin);
}

wall_time move_policy::soak_start() const
{
    return finish_time() - std::chrono::duration_cast<milliseconds>(spec_.soak);
}

wall_time move_policy::stage_end() const
{
    double rest = 0;
    for (std::size_t i = static_cast<std::size_t>(status_.stage) - 1; i < stages_.size(); ++i) {
        rest += stages_.at(i).weight;
    }
    const auto left = soak_start() - status_.changed_at;
    const auto part = rule().weight / rest * static_cast<double>(left.count());
    return status_.changed_at +
           std::max(milliseconds(static_cast<milliseconds::rep>(part)), least_stage);
}

wall_time move_policy::latest_stage_end() const
{
    const auto stages_left =
        static_cast<std::int64_t>(stages_.size()) - 1 - static_cast<std::int64_t>(status_.stage);
    const auto stages_end = interrupted_ ? spec_.deadline - last_moment -
                                               std::chrono::duration_cast<milliseconds>(spec_.soak)
                                         : soak_start();
    return stages_end - least_stage * std::max<std::int64_t>(stages_left, 0);
}

bool move_policy::is_full() const
{
    return status_.stage >= static_cast<std::int32_t>(stages_.size());
}

const move_policy::stage_rule& move_policy::rule() const
{
    const auto last = static_cast<std::int32_t>(stages_.size());
    return stages_.at(static_cast<std::size_t>(std::clamp(status_.stage, 1, last) - 1));
}

} // namespace camphor
