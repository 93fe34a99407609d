// The table and object store on the rows and objects of the platform's store.
#include "libshell/platform_http.h"

#include "libshell/store_client.h"

#include <algorithm>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphor::shell {

namespace {

constexpr std::size_t connection_count = 8;
/// Rows whose versions are remembered. Each takes about 200 bytes beside its value; when there are
/// more, all are forgotten and read again as needed.
constexpr std::size_t most_known_rows = 20'000;
/// A transaction is sent again when rows were written anew with the same values, so often at most.
constexpr int most_attempts = 3;

/// Smallest key behind all keys that start with `prefix`; empty when there is none.
std::string end_of_prefix(std::string prefix)
{
    constexpr auto highest_byte = '\xff';
    while (!prefix.empty() && prefix.back() == highest_byte) {
        prefix.pop_back();
    }
    if (!prefix.empty()) {
        prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    }
    return prefix;
}

bool is_write(const platform_request& request)
{
    return std::holds_alternative<table_transact>(request) ||
           std::holds_alternative<object_put>(request);
}

/// Status of a call that the store did not carry out, or of which that is not known.
platform_status status_of_failure(const store_reply& reply, bool writes)
{
    const bool unknown =
        writes && reply.was_sent && (reply.status == 0 || reply.status == store_ok);
    return unknown ? platform_status::outcome_unknown : platform_status::unavailable;
}

} // namespace

class platform_http::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(boost::asio::io_context& io, const platform_settings& settings)
        : client_(io, {settings.host, settings.port}, connection_count), timeout_(settings.timeout)
    {
    }

    /// A request under way.
    struct operation {
        platform_request request;
        reply_function done;
        platform_reply reply;
        int attempts = 0;
    };
    using operation_ptr = std::shared_ptr<operation>;

    void start(const platform_request& request, reply_function done)
    {
        auto item = std::make_shared<operation>();
        item->request = request;
        item->done = std::move(done);
        std::visit([&](const auto& order) { run(item, order); }, item->request);
    }

    platform_traffic traffic() const
    {
        auto out = traffic_;
        out.bytes = byte_count{client_.counters().bytes};
        return out;
    }

private:
    struct known_row {
        std::string value;
        std::int64_t version = 0;
    };

    /// Sends a call; `next` gets each answer, and decodes it or throws bad_store_answer.
    template <typename Next>
    void send(const operation_ptr& item, const platform::store_call& call, bool writes, Next next)
    {
        client_.call(call, timeout_,
                     [weak = weak_from_this(), item, writes, next](const store_reply& reply) {
                         const auto self = weak.lock();
                         if (!self) {
                             return;
                         }
                         try {
                             next(*self, reply);
                         } catch (const platform::bad_store_answer&) {
                             self->finish(item, status_of_failure({0, "", "", true}, writes));
                         }
                     });
    }

    /// Reads one row; `next` gets its value, none when it does not exist.
    void read_row(const operation_ptr& item, const std::string& key,
                  const std::function<void(const std::optional<std::string>&)>& next)
    {
        const platform::row_range range{key, "", 1};
        send(item, platform::read_table(platform::resource_table, range), false,
             [item, key, next](implementation& self, const store_reply& reply) {
                 if (reply.status != store_ok) {
                     self.finish(item, platform_status::unavailable);
                     return;
                 }
                 std::optional<std::string> held;
                 for (const auto& row : platform::read_rows_strictly(reply.body).rows) {
                     if (row.key == key) {
                         self.remember(row);
                         held = row.value;
                     }
                 }
                 next(held);
             });
    }

    void run(const operation_ptr& item, const table_read& order)
    {
        read_row(item, order.key, [this, item, key = order.key](const auto& held) {
            if (held) {
                item->reply.rows.push_back({key, *held});
            }
            finish(item, platform_status::ok);
        });
    }

    void run(const operation_ptr& item, const table_scan& order)
    {
        scan_page(item, order, std::max(order.after, order.prefix));
    }

    /// Asks for the rows from `from` on; the row `after` itself is not part of the answer.
    void scan_page(const operation_ptr& item, const table_scan& order, const std::string& from)
    {
        const auto wanted = static_cast<std::size_t>(order.limit) - item->reply.rows.size();
        const platform::row_range range{from, end_of_prefix(order.prefix),
                                        std::min(wanted + 1, platform::max_rows_per_read)};
        send(item, platform::read_table(platform::resource_table, range), false,
             [item, order](implementation& self, const store_reply& reply) {
                 if (reply.status != store_ok) {
                     self.finish(item, platform_status::unavailable);
                     return;
                 }
                 const auto answer = platform::read_rows_strictly(reply.body);
                 auto& rows = item->reply.rows;
                 const auto limit = static_cast<std::size_t>(order.limit);
                 const auto seen = rows.empty() ? order.after : rows.back().key;
                 for (const auto& row : answer.rows) {
                     const bool is_new = row.key > seen && row.key.starts_with(order.prefix);
                     if (is_new && rows.size() < limit) {
                         rows.push_back({row.key, row.value});
                     }
                 }
                 const bool more = answer.truncated && rows.size() < limit &&
                                   !answer.rows.empty() && answer.rows.back().key > seen;
                 if (more) {
                     self.scan_page(item, order, answer.rows.back().key);
                 } else {
                     self.finish(item, platform_status::ok);
                 }
             });
    }

    void run(const operation_ptr& item, const table_transact& order)
    {
        for (const auto& condition : order.conditions) {
            const auto known = known_.find(condition.key);
            // What is known may be old: before a conflict is told, the row decides.
            if (condition.expected &&
                (known == known_.end() || known->second.value != *condition.expected)) {
                check_condition(item, condition);
                return;
            }
        }
        transact(item, order);
    }

    void check_condition(const operation_ptr& item, const table_condition& condition)
    {
        read_row(item, condition.key, [this, item, condition](const auto& held) {
            if (condition.expected != held) {
                item->reply.failed_keys = {condition.key};
                finish(item, platform_status::conflict);
            } else {
                run(item, std::get<table_transact>(item->request));
            }
        });
    }

    void transact(const operation_ptr& item, const table_transact& order)
    {
        std::vector<platform::row_condition> conditions;
        for (const auto& condition : order.conditions) {
            const auto version = condition.expected ? known_.at(condition.key).version : 0;
            conditions.push_back({platform::resource_table, condition.key, version});
        }
        std::vector<platform::row_write> writes;
        for (const auto& write : order.writes) {
            writes.push_back({platform::resource_table, write.key, write.value});
        }
        ++item->attempts;
        send(item, platform::write_rows(conditions, writes), true,
             [item](implementation& self, const store_reply& reply) {
                 self.on_transacted(item, reply);
             });
    }

    void on_transacted(const operation_ptr& item, const store_reply& reply)
    {
        const auto& order = std::get<table_transact>(item->request);
        if (reply.status == store_conflict) {
            on_conflict(item, order, reply);
            return;
        }
        if (reply.status != store_ok) {
            for (const auto& write : order.writes) {
                known_.erase(write.key);
            }
            finish(item, status_of_failure(reply, true));
            return;
        }
        const auto version = platform::read_written_version(reply.body);
        for (const auto& write : order.writes) {
            known_.erase(write.key);
            if (write.value && version > 0) {
                remember({platform::resource_table, write.key, *write.value, version, false});
            }
        }
        finish(item, platform_status::ok);
    }

    void on_conflict(const operation_ptr& item, const table_transact& order,
                     const store_reply& reply)
    {
        std::map<std::string, std::string> held;
        const auto rows = platform::read_rows_strictly(reply.body).rows;
        for (const auto& condition : order.conditions) {
            known_.erase(condition.key);
        }
        for (const auto& row : rows) {
            held[row.key] = row.value;
            remember(row);
        }
        for (const auto& condition : order.conditions) {
            const auto found = held.find(condition.key);
            const bool holds = condition.expected.has_value() == (found != held.end()) &&
                               (!condition.expected || *condition.expected == found->second);
            if (!holds) {
                item->reply.failed_keys.push_back(condition.key);
            }
        }
        if (item->reply.failed_keys.empty() && item->attempts < most_attempts) {
            run(item, order);
        } else if (item->reply.failed_keys.empty()) {
            finish(item, platform_status::unavailable);
        } else {
            finish(item, platform_status::conflict);
        }
    }

    void run(const operation_ptr& item, const object_get& order)
    {
        send(item, platform::read_object(order.name), false,
             [item](implementation& self, const store_reply& reply) {
                 if (reply.status == store_ok) {
                     item->reply.body = reply.body;
                     self.finish(item, platform_status::ok);
                     return;
                 }
                 self.finish(item, reply.status == store_not_found ? platform_status::not_found
                                                                   : platform_status::unavailable);
             });
    }

    void run(const operation_ptr& item, const object_put& order)
    {
        send(item, platform::write_object(order.name, order.body), true,
             [item](implementation& self, const store_reply& reply) {
                 self.finish(item, reply.status == store_ok ? platform_status::ok
                                                            : status_of_failure(reply, true));
             });
    }

    void remember(const platform::store_row& row)
    {
        if (known_.size() >= most_known_rows) {
            known_.clear();
        }
        known_[row.key] = {row.value, row.version};
    }

    void finish(const operation_ptr& item, platform_status status)
    {
        item->reply.status = status;
        ++(is_write(item->request) ? traffic_.writes : traffic_.reads);
        const bool failed =
            status == platform_status::unavailable || status == platform_status::outcome_unknown;
        traffic_.failures += failed ? 1 : 0;
        item->done(std::move(item->reply));
    }

    store_client client_;
    std::chrono::milliseconds timeout_;
    platform_traffic traffic_;
    /// Rows as they were last seen; a hint, since others write them too.
    std::unordered_map<std::string, known_row> known_;
};

platform_http::platform_http(boost::asio::io_context& io, const platform_settings& settings)
    : self_(std::make_shared<implementation>(io, settings))
{
}

platform_http::~platform_http() = default;

void platform_http::call(const platform_request& request, reply_function done)
{
    self_->start(request, std::move(done));
}

platform_traffic platform_http::traffic() const
{
    return self_->traffic();
}

} // namespace camphor::shell
