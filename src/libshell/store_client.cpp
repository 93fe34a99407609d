// HTTP calls to the platform's store.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libshell/store_client.h"
#include "libshell/tcp_options.h"
#include "platform/header_names.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <vector>

namespace camphor::shell {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// The largest answers are objects, of 8 MiB at most on the platforms known; twice that.
constexpr std::size_t answer_limit_bytes = 16ULL * 1024 * 1024;
/// Heads of the store's answers are a few hundred bytes.
constexpr std::size_t head_limit_bytes = 16ULL * 1024;
/// Bytes that wait to be parsed: a head and one read of the body.
constexpr std::size_t input_limit_bytes = 128ULL * 1024;
/// Calls that may wait for a connection; more than a burst of all modules of a node.
constexpr std::size_t queue_limit = 1'024;
/// A connection that takes longer is given up: the store is near, and calls have limits of their
/// own that may be far longer.
constexpr std::chrono::milliseconds connect_limit{1'000};
/// A kept connection that the store had closed shows it at once; what fails later is a failure of
/// the store or of the way there.
constexpr std::chrono::milliseconds stale_limit{100};

http::request<http::string_body> to_message(const platform::store_call& call,
                                            const mesh::listen_address& address)
{
    http::request<http::string_body> out(http::string_to_verb(call.method), call.target, 11);
    out.set(http::field::host, address.host + ":" + std::to_string(address.port));
    if (!call.body.empty()) {
        out.set(http::field::content_type, "application/json");
        out.body() = call.body;
    }
    if (call.method != "GET") {
        out.prepare_payload();
    }
    return out;
}

/// 0 when the answer states no era.
std::int64_t read_era(const http::fields& fields)
{
    const auto text = fields[platform::header::store_era];
    std::int64_t era = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
    return error == std::errc{} && era > 0 ? era : 0;
}

} // namespace

class store_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, mesh::listen_address target, std::size_t most)
        : io(context), address(std::move(target)), most_lanes(most)
    {
    }

    struct waiting_call {
        platform::store_call call;
        std::chrono::milliseconds limit{};
        reply_function done;
    };

    class lane;

    void add(waiting_call item);
    /// Gives waiting calls to idle connections.
    void next();

    asio::io_context& io;
    mesh::listen_address address;
    std::size_t most_lanes;
    std::deque<waiting_call> queue;
    /// Most recently used last.
    std::vector<std::shared_ptr<lane>> idle;
    std::vector<std::weak_ptr<lane>> all;
    store_counters counters;
    bool closed = false;
};

/// One connection. Invariant: `current_` holds the call under way, empty when idle.
class store_client::implementation::lane : public std::enable_shared_from_this<lane> {
    using clock = std::chrono::steady_clock;

public:
    explicit lane(const std::shared_ptr<implementation>& owner)
        : owner_(owner), socket_(owner->io), timer_(owner->io)
    {
    }

    void start(waiting_call item)
    {
        current_ = std::move(item);
        begin();
    }

    /// Ends without a word to the caller.
    void abandon()
    {
        ++turn_;
        current_.reset();
        timer_.cancel();
        close();
    }

    /// Ends the call under way: the store is elsewhere.
    void move()
    {
        if (current_) {
            finish({0, "", "the store's address changed", sent_}, false);
        } else {
            close();
        }
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
        connected_ = false;
        input_.consume(input_.size());
    }

private:
    void begin()
    {
        sent_ = false;
        ++turn_;
        started_ = clock::now();
        const auto owner = owner_.lock();
        if (connected_ && (!(connected_to_ == owner->address) || has_stray_bytes())) {
            close();
        }
        reused_ = connected_;
        if (connected_) {
            write();
        } else {
            connect();
        }
    }

    /// Something came that no call asked for.
    bool has_stray_bytes()
    {
        error_code error;
        return socket_.available(error) > 0 || error;
    }

    /// Ends the call at `late`, unless it moves on before.
    void arm(clock::time_point late)
    {
        timer_.expires_at(late);
        timer_.async_wait([self = shared_from_this(), mine = turn_](error_code error) {
            if (!error && mine == self->turn_ && self->timer_.expiry() <= clock::now()) {
                self->finish({0, "", "no answer in time", self->sent_}, false);
            }
        });
    }

    /// Whether the call of turn `mine` is still under way; an error ends it.
    bool goes_on(std::uint64_t mine, error_code error)
    {
        if (mine == turn_ && error) {
            finish({0, "", error.message(), sent_}, false);
            return false;
        }
        return mine == turn_;
    }

    void connect()
    {
        const auto owner = owner_.lock();
        connected_to_ = owner->address;
        arm(started_ + std::min(connect_limit, current_->limit));
        error_code bad_address;
        const auto host = asio::ip::make_address(owner->address.host, bad_address);
        if (bad_address) {
            asio::post(owner->io, [self = shared_from_this(), mine = turn_, bad_address] {
                self->goes_on(mine, bad_address);
            });
            return;
        }
        socket_.async_connect({host, owner->address.port},
                              [self = shared_from_this(), mine = turn_](error_code error) {
                                  if (!self->goes_on(mine, error)) {
                                      return;
                                  }
                                  set_tcp_options(self->socket_, silence_check::prompt);
                                  self->connected_ = true;
                                  self->write();
                              });
    }

    void write()
    {
        const auto owner = owner_.lock();
        const auto message = std::make_shared<http::request<http::string_body>>(
            to_message(current_->call, owner->address));
        sent_ = true;
        arm(started_ + current_->limit);
        ++owner->counters.calls;
        http::async_write(
            socket_, *message,
            [self = shared_from_this(), message, mine = turn_](error_code error, std::size_t size) {
                self->count(size);
                if (self->goes_on(mine, error)) {
                    self->read();
                }
            });
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(head_limit_bytes);
        parser_->body_limit(answer_limit_bytes);
        // The body's room is made by the announced length: it is looked at first.
        http::async_read_header(
            socket_, input_, *parser_,
            [self = shared_from_this(), mine = turn_](error_code error, std::size_t size) {
                self->count(size);
                if (self->goes_on(mine, error)) {
                    self->on_head();
                }
            });
    }

    void on_head()
    {
        const auto announced = parser_->content_length();
        if (parser_->get().result_int() < store_ok) {
            finish({0, "", "an interim answer", sent_}, false);
            return;
        }
        if (announced && *announced > answer_limit_bytes) {
            finish({0, "", "the answer announces " + std::to_string(*announced) + " bytes", sent_},
                   false);
            return;
        }
        http::async_read(
            socket_, input_, *parser_,
            [self = shared_from_this(), mine = turn_](error_code error, std::size_t size) {
                self->count(size);
                if (self->goes_on(mine, error)) {
                    self->on_answer();
                }
            });
    }

    void on_answer()
    {
        auto& message = parser_->get();
        // Bytes behind the answer would be taken for the next one.
        const bool keep = parser_->keep_alive() && input_.size() == 0;
        const auto era = read_era(message);
        finish({static_cast<int>(message.result_int()), std::move(message.body()), "", true, era},
               keep);
    }

    void count(std::size_t bytes)
    {
        if (const auto owner = owner_.lock()) {
            owner->counters.bytes += bytes;
        }
    }

    void finish(const store_reply& reply, bool keep)
    {
        const auto owner = owner_.lock();
        if (!owner) {
            return;
        }
        ++turn_;
        timer_.cancel();
        owner->counters.failures += reply.status == 0 ? 1 : 0;
        if (!keep) {
            close();
        }
        // A kept connection may have been closed before the call reached the store; reads are sent
        // again.
        if (reply.status == 0 && reused_ && current_->call.method == "GET" &&
            clock::now() - started_ < stale_limit) {
            begin();
            return;
        }
        const auto done = std::move(current_->done);
        current_.reset();
        owner->idle.push_back(shared_from_this());
        done(reply);
        owner->next();
    }

    std::weak_ptr<implementation> owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer input_{input_limit_bytes};
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<waiting_call> current_;
    mesh::listen_address connected_to_;
    clock::time_point started_;
    /// Tells handlers of a call that was given up from those of the current one.
    std::uint64_t turn_ = 0;
    bool connected_ = false;
    bool reused_ = false;
    bool sent_ = false;
};

void store_client::implementation::add(waiting_call item)
{
    if (queue.size() >= queue_limit) {
        ++counters.failures;
        asio::post(io, [self = shared_from_this(), done = std::move(item.done)] {
            if (!self->closed) {
                done({0, "", "too many calls wait", false});
            }
        });
        return;
    }
    queue.push_back(std::move(item));
    next();
}

void store_client::implementation::next()
{
    while (!closed && !queue.empty()) {
        if (idle.empty()) {
            if (all.size() >= most_lanes) {
                return;
            }
            auto created = std::make_shared<lane>(shared_from_this());
            all.push_back(created);
            idle.push_back(std::move(created));
        }
        const auto chosen = std::move(idle.back());
        idle.pop_back();
        auto item = std::move(queue.front());
        queue.pop_front();
        chosen->start(std::move(item));
    }
}

store_client::store_client(asio::io_context& io, mesh::listen_address address,
                           std::size_t connections)
    : self_(std::make_shared<implementation>(io, std::move(address), connections))
{
}

store_client::~store_client()
{
    self_->closed = true;
    self_->queue.clear();
    for (const auto& each : self_->all) {
        if (const auto lane = each.lock()) {
            lane->abandon();
        }
    }
}

void store_client::call(const platform::store_call& call, std::chrono::milliseconds limit,
                        reply_function done)
{
    self_->add({call, limit, std::move(done)});
}

void store_client::set_address(mesh::listen_address address)
{
    self_->address = std::move(address);
    // A call that ends may start others, and connections for them.
    const auto lanes = self_->all;
    for (const auto& each : lanes) {
        if (const auto lane = each.lock()) {
            lane->move();
        }
    }
}

const store_counters& store_client::counters() const
{
    return self_->counters;
}

} // namespace camphor::shell
