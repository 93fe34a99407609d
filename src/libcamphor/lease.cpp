// Taking, renewing and losing a lease.
#include <camphortally/lease.h>

#include <charconv>
#include <utility>

namespace camphor {

namespace {

std::optional<std::string> value_of(const platform_reply& reply)
{
    if (reply.rows.empty()) {
        return std::nullopt;
    }
    return reply.rows.front().value;
}

/// The number after the last colon; 0 when there is none.
std::int64_t epoch_number(const std::optional<std::string>& value)
{
    if (!value) {
        return 0;
    }
    std::int64_t out = 0;
    const auto* begin = value->data() + value->rfind(':') + 1;
    std::from_chars(begin, value->data() + value->size(), out);
    return out;
}

} // namespace

lease::lease(const std::string& name, std::string node, std::string owner)
    : lease_key_("lease/" + name), epoch_key_("epoch/" + name), node_(std::move(node)),
      owner_(std::move(owner))
{
}

bool lease::is_held(time_point now) const
{
    return held_until_ && now < *held_until_ - margin;
}

table_condition lease::fence() const
{
    return {epoch_key_, seen_epoch_};
}

std::optional<platform_request> lease::poll(time_point now, bool contend)
{
    if (held_until_ && !is_held(now)) {
        lose();
    }
    if (step_ != step::idle && now < sent_at_ + answer_patience) {
        return std::nullopt;
    }
    if (step_ != step::idle) {
        step_ = step::idle; // The answer is late: read what became of it.
        next_at_ = now;
        seen_any_ = seen_any_ && !held_until_;
    }
    if (now < next_at_ || (!contend && !held_until_)) {
        return std::nullopt;
    }
    const bool know_rows = seen_any_ && epoch_known_;
    if (know_rows && (held_until_ || may_take(now))) {
        return start(now, step::writing);
    }
    return start(now, seen_any_ && !epoch_known_ ? step::reading_epoch : step::reading_lease);
}

bool lease::may_take(time_point now) const
{
    return !seen_lease_ || now >= seen_since_ + length + margin;
}

std::optional<platform_request> lease::start(time_point now, step next)
{
    step_ = next;
    sent_at_ = now;
    switch (next) {
    case step::reading_lease:
        return table_read{lease_key_};
    case step::reading_epoch:
        return table_read{epoch_key_};
    default:
        write_sent_at_ = now;
        return write_of();
    }
}

table_transact lease::write_of()
{
    wanted_lease_ = owner_ + ":" + std::to_string(++renewals_);
    table_transact out;
    out.conditions = {{lease_key_, seen_lease_}, {epoch_key_, seen_epoch_}};
    out.writes.push_back({lease_key_, wanted_lease_});
    if (held_until_) {
        wanted_epoch_ = *seen_epoch_;
    } else {
        wanted_epoch_ = node_ + ":" + std::to_string(epoch_number(seen_epoch_) + 1);
        out.writes.push_back({epoch_key_, wanted_epoch_});
    }
    return out;
}

void lease::on_reply(time_point now, const platform_reply& reply)
{
    const auto done = std::exchange(step_, step::idle);
    next_at_ = now + (held_until_ ? renew_period : poll_period);
    if (done == step::writing) {
        after_write(reply);
        next_at_ = now + (held_until_ ? renew_period : poll_period);
        return;
    }
    if (reply.status != platform_status::ok) {
        return;
    }
    if (done == step::reading_lease) {
        after_lease_read(now, reply);
    } else if (done == step::reading_epoch) {
        after_epoch_read(reply);
        next_at_ = may_take(now) ? now : next_at_;
    }
}

void lease::after_lease_read(time_point now, const platform_reply& reply)
{
    const auto value = value_of(reply);
    if (value && *value == wanted_lease_) {
        // The write whose answer was lost took effect; its epoch was written with it.
        seen_lease_ = value;
        seen_epoch_ = wanted_epoch_;
        seen_any_ = true;
        epoch_known_ = true;
        held_until_ = write_sent_at_ + length;
        return;
    }
    if (held_until_ && value == seen_lease_) {
        seen_any_ = true; // The lost write had no effect; the one before still stands.
        next_at_ = now;
        return;
    }
    if (held_until_) {
        lose();
    }
    if (!seen_any_ || value != seen_lease_) {
        seen_lease_ = value;
        seen_since_ = now;
        seen_any_ = true;
        epoch_known_ = false;
    }
    if (!epoch_known_) {
        next_at_ = now;
    }
}

void lease::after_epoch_read(const platform_reply& reply)
{
    seen_epoch_ = value_of(reply);
    epoch_known_ = true;
}

void lease::after_write(const platform_reply& reply)
{
    switch (reply.status) {
    case platform_status::ok:
        seen_lease_ = wanted_lease_;
        seen_epoch_ = wanted_epoch_;
        held_until_ = write_sent_at_ + length;
        break;
    case platform_status::conflict:
        lose();
        break;
    case platform_status::outcome_unknown:
        seen_any_ = false; // Read again before anything else.
        break;
    default:
        break;
    }
}

void lease::lose()
{
    held_until_.reset();
    seen_any_ = false;
    epoch_known_ = false;
}

std::optional<platform_request> lease::release(time_point now)
{
    if (!is_held(now) || step_ != step::idle) {
        return std::nullopt;
    }
    table_transact out;
    out.conditions = {{lease_key_, seen_lease_}, {epoch_key_, seen_epoch_}};
    out.writes.push_back({lease_key_, std::nullopt});
    lose();
    return out;
}

} // namespace camphor
