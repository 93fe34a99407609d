// HTTP calls to the platform's store.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libsidecar/store_client.h"
#include "libsidecar/tcp_options.h"

#include <deque>
#include <optional>

namespace camphor::sidecar {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// The store's answers hold at most a megabyte of rows.
constexpr std::size_t answer_limit_bytes = 16ULL * 1024 * 1024;

} // namespace

class store_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, mesh::listen_address target)
        : address(std::move(target)), socket(context), timer(context)
    {
    }

    struct waiting_call {
        platform::store_call call;
        std::chrono::milliseconds limit;
        reply_function done;
    };

    void next();
    void connect();
    void write();
    void read();
    void finish(const store_reply& reply, bool keep);

    mesh::listen_address address;
    tcp::socket socket;
    asio::steady_timer timer;
    std::deque<waiting_call> queue;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<http::string_body>> parser;
    std::string output;
    store_counters counters;
    /// Tells handlers of a call that was given up from those of the current one.
    std::uint64_t turn = 0;
    bool busy = false;
    bool connected = false;
    bool reused = false;
    bool written = false;
    bool closed = false;
};

void store_client::implementation::next()
{
    if (busy || queue.empty() || closed) {
        return;
    }
    busy = true;
    written = false;
    ++turn;
    timer.expires_after(queue.front().limit);
    timer.async_wait([self = shared_from_this(), mine = turn](error_code error) {
        if (!error && mine == self->turn && self->busy) {
            self->finish({0, "", "no answer in time", self->written}, false);
        }
    });
    reused = connected;
    if (connected) {
        write();
    } else {
        connect();
    }
}

void store_client::implementation::connect()
{
    input.consume(input.size());
    socket.async_connect({asio::ip::make_address(address.host), address.port},
                         [self = shared_from_this(), mine = turn](error_code error) {
                             if (mine != self->turn || self->closed) {
                                 return;
                             }
                             if (error) {
                                 self->finish({0, "", error.message(), false}, false);
                                 return;
                             }
                             set_tcp_options(self->socket);
                             self->connected = true;
                             self->write();
                         });
}

void store_client::implementation::write()
{
    const auto& call = queue.front().call;
    http::request<http::string_body> message(
        call.method == "POST" ? http::verb::post : http::verb::get, call.target, 11);
    message.set(http::field::host, address.host + ":" + std::to_string(address.port));
    if (!call.body.empty()) {
        message.set(http::field::content_type, "application/json");
        message.body() = call.body;
        message.prepare_payload();
    }
    auto shared = std::make_shared<http::request<http::string_body>>(std::move(message));
    written = true;
    ++counters.calls;
    counters.bytes += shared->body().size();
    http::async_write(
        socket, *shared,
        [self = shared_from_this(), shared, mine = turn](error_code error, std::size_t) {
            if (mine != self->turn || self->closed) {
                return;
            }
            if (error) {
                self->finish({0, "", error.message(), true}, false);
                return;
            }
            self->read();
        });
}

void store_client::implementation::read()
{
    parser.emplace();
    parser->body_limit(answer_limit_bytes);
    http::async_read(socket, input, *parser,
                     [self = shared_from_this(), mine = turn](error_code error, std::size_t) {
                         if (mine != self->turn || self->closed) {
                             return;
                         }
                         if (error) {
                             self->finish({0, "", error.message(), true}, false);
                             return;
                         }
                         auto& message = self->parser->get();
                         self->counters.bytes += message.body().size();
                         const bool keep = self->parser->keep_alive();
                         self->finish({static_cast<int>(message.result_int()),
                                       std::move(message.body()), "", true},
                                      keep);
                     });
}

void store_client::implementation::finish(const store_reply& reply, bool keep)
{
    busy = false;
    ++turn;
    timer.cancel();
    if (reply.status == 0) {
        ++counters.failures;
    }
    if (!keep) {
        error_code ignored;
        socket.close(ignored);
        connected = false;
        input.consume(input.size());
    }
    // A kept connection may have been closed before the call reached the store; reads are sent
    // again.
    if (reply.status == 0 && reused && queue.front().call.method == "GET" &&
        reply.problem != "no answer in time") {
        next();
        return;
    }
    const auto done = std::move(queue.front().done);
    queue.pop_front();
    done(reply);
    next();
}

store_client::store_client(asio::io_context& io, mesh::listen_address address)
    : self_(std::make_shared<implementation>(io, std::move(address)))
{
}

store_client::~store_client()
{
    self_->closed = true;
    self_->timer.cancel();
    error_code ignored;
    self_->socket.close(ignored);
}

void store_client::call(const platform::store_call& call, std::chrono::milliseconds limit,
                        reply_function done)
{
    self_->queue.push_back({call, limit, std::move(done)});
    self_->next();
}

const store_counters& store_client::counters() const
{
    return self_->counters;
}

} // namespace camphor::sidecar
