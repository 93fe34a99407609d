// Reads the store for one node.
#include "libsidecar/store_follower.h"

#include "libmesh/log_text.h"
#include "platform/operator_rows.h"

#include <algorithm>

namespace camphor::sidecar {

using namespace std::chrono_literals;

namespace {

/// A read or a write takes the store some milliseconds; when slow, up to a second.
constexpr std::chrono::milliseconds call_limit{2'000};
/// Pause after a failed call: between half of it and all of it, doubled up to the longest.
constexpr std::chrono::milliseconds first_pause{200};
constexpr std::chrono::milliseconds longest_pause{1'600};
constexpr int most_doublings = 3;

} // namespace

store_follower::store_follower(boost::asio::io_context& io, const mesh::listen_address& store,
                               mesh_wire::node_record self, std::chrono::milliseconds longest_read,
                               event_function on_event, std::function<void(mesh::log_line)> on_log,
                               std::uint64_t seed)
    : calls_(io, store), feed_(io, store), announce_timer_(io), follow_timer_(io),
      self_(std::move(self)), longest_read_(longest_read), on_event_(std::move(on_event)),
      on_log_(std::move(on_log)), random_(seed)
{
}

void store_follower::start()
{
    announce();
    read_all();
}

void store_follower::stop()
{
    stopped_ = true;
    announce_timer_.cancel();
    follow_timer_.cancel();
}

void store_follower::set_address(const mesh::listen_address& store)
{
    calls_.set_address(store);
    feed_.set_address(store);
}

void store_follower::set_longest_read(std::chrono::milliseconds wait)
{
    longest_read_ = wait;
}

shell::store_counters store_follower::counters() const
{
    auto out = calls_.counters();
    out.calls += feed_.counters().calls;
    out.failures += feed_.counters().failures;
    out.bytes += feed_.counters().bytes;
    return out;
}

std::optional<duration> store_follower::read_age() const
{
    if (!following_) {
        return std::nullopt;
    }
    return clock::now() - answered_at_;
}

void store_follower::log(log_level level, const std::string& name, mesh::log_fields fields)
{
    on_log_({level, name, "", std::move(fields)});
}

void store_follower::announce()
{
    const auto row =
        platform::write_row(platform::node_table, self_.node, platform::write_node_row(self_));
    calls_.call(row, call_limit, [this](const shell::store_reply& reply) {
        if (reply.status != shell::store_ok) {
            retry_later(reply, &store_follower::announce);
            return;
        }
        list_nodes();
    });
}

void store_follower::list_nodes()
{
    list_nodes_from("");
}

void store_follower::list_nodes_from(const std::string& first)
{
    const auto call = platform::read_table(platform::node_table, {first, "", 0});
    calls_.call(call, call_limit, [this, first](const shell::store_reply& reply) {
        if (reply.status != shell::store_ok) {
            retry_later(reply, &store_follower::list_nodes);
            return;
        }
        try {
            const auto answer = read_rows(reply);
            take_nodes(answer.rows);
            if (answer.truncated && answer.rows.size() > 1) {
                // The last row comes again as the first of the next part.
                list_nodes_from(answer.rows.back().key);
            }
        } catch (const platform::bad_store_answer& error) {
            retry_later({0, "", error.what(), true}, &store_follower::list_nodes);
        }
    });
}

platform::store_rows store_follower::read_rows(const shell::store_reply& reply)
{
    auto out = platform::read_rows(reply.body);
    for (const auto& row : out.unreadable) {
        log(log_level::warning, "store.bad_row", {{"key", row.key}, {"reason", row.reason}});
    }
    return out;
}

void store_follower::take_nodes(const std::vector<platform::store_row>& rows)
{
    mesh::nodes_listed listed;
    for (const auto& row : rows) {
        try {
            listed.nodes.push_back(platform::read_node_row(row.value));
        } catch (const platform::bad_row& error) {
            log(log_level::warning, "store.bad_row", {{"key", row.key}, {"reason", error.what()}});
        }
    }
    on_event_(std::move(listed));
}

void store_follower::read_status()
{
    calls_.call(platform::read_table(platform::status_table), call_limit,
                [this](const shell::store_reply& reply) {
                    if (reply.status != shell::store_ok) {
                        retry_later(reply, &store_follower::read_status);
                        return;
                    }
                    try {
                        take_statuses(read_rows(reply).rows);
                    } catch (const platform::bad_store_answer& error) {
                        retry_later({0, "", error.what(), true}, &store_follower::read_status);
                    }
                });
}

void store_follower::take_statuses(const std::vector<platform::store_row>& rows)
{
    for (const auto& row : rows) {
        try {
            if (const auto status = platform::read_rollout_status(row.key, row.value)) {
                on_event_(mesh::rollout_status_read{*status, row.version});
            }
        } catch (const platform::bad_row& error) {
            log(log_level::warning, "store.bad_row",
                {{"table", "status"}, {"key", row.key}, {"reason", error.what()}});
        }
    }
}

void store_follower::retry_later(const shell::store_reply& reply, void (store_follower::*again)())
{
    if (stopped_) {
        return;
    }
    note_contact(false, reply);
    const auto doubled = first_pause * (1 << std::min(failures_, most_doublings));
    const auto longest = std::min(doubled, longest_pause);
    std::uniform_int_distribution<std::int64_t> pause(longest.count() / 2, longest.count());
    if (!following_ && (again == &store_follower::read_all || again == &store_follower::follow) &&
        read_up_to_ > 0) {
        feed_pending_ = false;
        return;
    }
    auto& timer = again == &store_follower::read_all || again == &store_follower::follow
                      ? follow_timer_
                      : announce_timer_;
    ++failures_;
    timer.expires_after(std::chrono::milliseconds(pause(random_)));
    timer.async_wait([this, again](boost::system::error_code error) {
        if (!error && !stopped_) {
            (this->*again)();
        }
    });
}

void store_follower::note_contact(bool good, const shell::store_reply& reply)
{
    if (good) {
        failures_ = 0;
    }
    if (good == in_contact_) {
        return;
    }
    in_contact_ = good;
    if (good) {
        log(log_level::info, "store.regained", {{"read_up_to", std::to_string(read_up_to_)}});
    } else {
        log(log_level::warning, "store.lost",
            {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
        on_event_(mesh::rows_read{{}, read_up_to_, false});
    }
}

void store_follower::set_following(bool follow)
{
    if (following_ == follow) {
        return;
    }
    following_ = follow;
    // A pending call goes on and shows by its answer how the store is.
    if (follow && !feed_pending_) {
        read_all();
    }
}

void store_follower::read_all()
{
    feed_pending_ = true;
    asked_at_ = clock::now();
    feed_.call(platform::read_table(platform::operator_table), call_limit,
               [this](const shell::store_reply& reply) { on_rows(reply, true); });
}

void store_follower::follow()
{
    if (!following_) {
        feed_pending_ = false;
        return;
    }
    feed_pending_ = true;
    asked_at_ = clock::now();
    feed_.call(platform::follow_table(platform::operator_table, read_up_to_, longest_read_),
               longest_read_ + call_limit,
               [this](const shell::store_reply& reply) { on_rows(reply, false); });
}

void store_follower::on_rows(const shell::store_reply& reply, bool whole_table)
{
    if (stopped_) {
        return;
    }
    if (reply.status == shell::store_history_gone && !whole_table) {
        log(log_level::info, "store.history_gone", {{"read_up_to", std::to_string(read_up_to_)}});
        read_all();
        return;
    }
    if (reply.status != shell::store_ok) {
        retry_later(reply, whole_table ? &store_follower::read_all : &store_follower::follow);
        return;
    }
    try {
        const auto answer = read_rows(reply);
        mesh::rows_read happened;
        bool has_order = false;
        for (const auto& row : answer.rows) {
            mesh_wire::operator_row item;
            item.__set_key(row.key);
            item.__set_row_version(row.version);
            item.__set_document(row.value);
            item.__set_removed(row.removed);
            has_order = decode(item) || has_order;
            happened.rows.push_back(std::move(item));
        }
        read_up_to_ = std::max(read_up_to_, answer.newest);
        happened.read_up_to = read_up_to_;
        happened.fresh = true;
        answered_at_ = clock::now();
        note_contact(true, reply);
        if (!happened.rows.empty()) {
            log(log_level::info, "store.rows_read",
                {{"rows", std::to_string(happened.rows.size())},
                 {"read_up_to", std::to_string(read_up_to_)},
                 {"waited_ms", mesh::millis(answered_at_ - asked_at_)}});
        }
        on_event_(std::move(happened));
        if (whole_table && has_order) {
            // The order may be an old one that has its outcome.
            read_status();
        }
    } catch (const platform::bad_store_answer& error) {
        retry_later({0, "", error.what(), true},
                    whole_table ? &store_follower::read_all : &store_follower::follow);
        return;
    }
    follow();
}

bool store_follower::decode(const mesh_wire::operator_row& row)
{
    if (row.removed) {
        return false;
    }
    try {
        auto document = platform::read_operator_row(row.key, row.document, row.row_version);
        if (auto* config = std::get_if<mesh::config_read>(&document)) {
            on_event_(std::move(*config));
        } else if (auto* order = std::get_if<mesh::order_read>(&document)) {
            on_event_(std::move(*order));
            return true;
        }
    } catch (const platform::bad_row& error) {
        log(log_level::error, "store.bad_row", {{"key", row.key}, {"reason", error.what()}});
    }
    return false;
}

void store_follower::take(const mesh::take_rows& order)
{
    for (const auto& row : order.rows) {
        decode(row);
    }
    read_up_to_ = std::max(read_up_to_, order.read_up_to);
}

void store_follower::write(const mesh::write_rollout_status& order)
{
    const auto row = platform::write_row(
        platform::status_table, platform::rollout_status_key(order.status.service),
        platform::write_rollout_status(order.status), order.expected_version);
    calls_.call(row, call_limit, [this, order](const shell::store_reply& reply) {
        using outcome = mesh::rollout_status_written::outcome;
        mesh::rollout_status_written happened;
        happened.status = order.status;
        if (reply.status == shell::store_ok) {
            happened.result = outcome::written;
            happened.row_version = platform::read_written_version(reply.body);
        } else if (reply.status == shell::store_conflict) {
            happened.result = outcome::conflict;
            read_status();
        } else {
            happened.result = outcome::failed;
            log(log_level::warning, "rollout.status_not_written",
                {{"service", order.status.service.value()},
                 {"status", std::to_string(reply.status)},
                 {"reason", reply.problem}});
            // The write may have been carried out: the row tells.
            if (reply.was_sent) {
                read_status();
            }
        }
        on_event_(std::move(happened));
    });
}

void store_follower::read_crashes()
{
    calls_.call(platform::read_table(platform::crash_table), call_limit,
                [this](const shell::store_reply& reply) {
                    mesh::crashes_read happened;
                    if (reply.status == shell::store_ok) {
                        happened.done = true;
                        happened.report = take_crashes(reply);
                    } else {
                        log(log_level::info, "suspects.not_read",
                            {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
                    }
                    on_event_(std::move(happened));
                });
}

mesh_wire::crash_report store_follower::take_crashes(const shell::store_reply& reply)
{
    mesh_wire::crash_report out;
    try {
        for (const auto& row : read_rows(reply).rows) {
            try {
                const auto part =
                    platform::read_crash_row(row.value, std::chrono::system_clock::now());
                out.ends.insert(out.ends.end(), part.ends.begin(), part.ends.end());
            } catch (const platform::bad_row& error) {
                log(log_level::warning, "store.bad_row",
                    {{"table", platform::crash_table}, {"key", row.key}, {"reason", error.what()}});
            }
        }
    } catch (const platform::bad_store_answer& error) {
        log(log_level::warning, "store.bad_row",
            {{"table", platform::crash_table}, {"reason", error.what()}});
    }
    return out;
}

void store_follower::write(const mesh::write_crashes& order)
{
    const auto row = platform::write_row(
        platform::crash_table, self_.node,
        platform::write_crash_row(order.report, std::chrono::system_clock::now()));
    calls_.call(row, call_limit, [this](const shell::store_reply& reply) {
        if (reply.status != shell::store_ok) {
            log(log_level::warning, "suspects.not_written",
                {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
        }
        on_event_(mesh::crashes_written{reply.status == shell::store_ok});
    });
}

} // namespace camphor::sidecar
