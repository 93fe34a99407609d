// Turns operators' and control duties' requests into accepted changes: one conditional transaction
// each, with its change record, audit record and operation id.
#pragma once

#include <camphortally/event_operator.h>
#include <camphortally/platform_client.h>
#include <camphortally/snapshot.h>
#include <camphortally/timer.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphor {

struct step_context;

/// One resource of an order.
struct change_part {
    resource_key key;
    /// Null to delete. Its revision is set when the change is accepted.
    resource_ptr item;
    /// Revision that the resource must have; empty for any.
    std::optional<config_version> if_match{};
};

/// Changes that somebody wants accepted together, as consecutive versions.
struct change_order {
    /// Invariant: not empty. The first part is the one that if_match speaks of.
    std::vector<change_part> parts;
    std::optional<config_version> if_match;
    operation_id operation;
    origin from;
    /// Set when an operator waits for the answer.
    std::optional<request_id> request;
    /// Further conditions, such as a lease's fencing epoch.
    std::vector<table_condition> conditions;
};

/// How an order ended, as told to the part that placed it.
enum class order_result : std::uint8_t {
    accepted,
    /// If-Match did not hold or the change is not valid on the newest version.
    rejected,
    /// A fencing condition did not hold.
    fenced,
    unavailable,
    outcome_unknown,
};

/// Table layout: `head` holds the newest version in decimal; `change/<20 digits>` a change;
/// `audit/<20 digits>` its audit record; `op/<operation id>` the last version it was accepted as.
/// Invariant: at most one transaction of this node is in flight; the rest wait in orders_.
class change_writer {
public:
    void on_event(step_context& context, const operator_event& event);
    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);

    /// Queues a control duty's order; the result comes to control::on_order_result.
    void place(step_context& context, change_order order);

private:
    struct pending {
        change_order order;
        time_point give_up;
        /// Some transaction of it may have taken effect.
        bool outcome_unknown = false;
        /// Version that the table's head confirmed as the newest. An order is refused, or found to
        /// change nothing, on such a version only: another node may be ahead of this one.
        std::optional<config_version> confirmed;
    };

    void take(step_context& context, const put_requested& event);
    void take(step_context& context, const delete_requested& event);
    void enqueue(step_context& context, change_order order);
    void start_next(step_context& context);
    void attempt_front(step_context& context);
    /// Answers an order that is refused or changes nothing, or asks whether the held version is the
    /// newest. False when the order is to be tried.
    bool answer_locally(step_context& context);
    void after_head_read(step_context& context, const platform_reply& reply);
    void after_transaction(step_context& context, const platform_reply& reply);
    void after_conflict(step_context& context, const platform_reply& reply);
    void after_operation_read(step_context& context, const platform_reply& reply);
    void after_catch_up(step_context& context, const platform_reply& reply);
    void read_operation(step_context& context);
    void catch_up(step_context& context);
    void retry_later(step_context& context, std::int32_t timer_kind);
    void accept_front(step_context& context, config_version last);
    void reject_front(step_context& context, std::int32_t status, const std::string& code,
                      const std::vector<fault>& faults);
    void give_up_front(step_context& context);
    void finish_front(step_context& context, order_result result, std::int32_t status,
                      const std::string& body, config_version revision);
    void request(step_context& context, std::int32_t kind, platform_request request);

    std::deque<pending> orders_;
    bool busy_ = false;
    /// Changes of the transaction in flight or last tried.
    std::vector<change> attempted_;
    /// Replies to older requests are ignored.
    std::uint64_t sequence_ = 0;
    std::uint64_t next_operation_ = 0;
};

/// `{"error":{"code","message","pointer","faults":[{"pointer","reason"}]}}`, the body of every
/// refusal of the resource API. `message` is the first fault's reason.
std::string error_body(const std::string& code, const std::vector<fault>& faults);

/// Start of all keys of change records; the version follows, so that they sort by it.
inline constexpr std::string_view change_prefix = "change/";
/// Key of the change record of `version`.
std::string change_key(config_version version);
/// The record's value; inverse of parse_change_record.
std::string to_record(const change& item);
/// @throws invalid_input when the text is not a change record
change parse_change_record(const std::string& text);

} // namespace camphor
