// Connection pool to the backend server: request writing, answer parsing and exit detection.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libshell/cancellable_timer.h"
#include "libshell/http_head.h"
#include "libshell/tcp_options.h"
#include "libsidecar/app_client.h"
#include "libsidecar/monotonic_clock.h"
#include "platform/header_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphor::sidecar {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace header = platform::header;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

/// The backend server runs on the same machine, where a connection opens at once or not at all.
constexpr auto connect_timeout = 1s;
/// Delay before a probe: an exiting process closes its sockets one after the other, so its
/// listening socket may outlive the connection that broke.
constexpr auto probe_delay = 50ms;
/// Share of the keep-alive timeout of the backend server within which a connection is reused.
constexpr int idle_reuse_percent = 80;
/// Idle timeout of a connection whose answer has no Keep-Alive timeout.
constexpr auto default_idle_timeout = 4s;
/// An unsafe request reuses a connection only within this idle time: if the backend server has
/// closed the connection meanwhile, it is unknown whether the request was read.
constexpr auto max_idle_for_unsafe_reuse = 1500ms;
/// Longest accepted answer. Well above the longest answers of both meshes (30 KB); its copies fit
/// into a frame between nodes and into the memory of the smallest machines (160 MB).
constexpr std::size_t max_answer_bytes = 4ULL * 1024 * 1024;
/// Upper limit for all incomplete answers together: a tenth of those 160 MB. Above the limit the
/// longest answer is aborted.
constexpr std::size_t highest_buffered_limit_bytes = 16ULL * 1024 * 1024;
constexpr std::size_t max_head_bytes = 64ULL * 1024;
/// Limit of unparsed input: the longest head and one read.
constexpr std::size_t max_input_bytes = 2 * max_head_bytes;
/// Answers longer than this are read in large blocks; below it a read takes about 512 bytes.
constexpr std::size_t large_read_threshold_bytes = 16ULL * 1024;
/// Limit of interim (1xx) answers to one request.
constexpr int max_interim_answers = 16;
/// Limit of the refused request ids remembered for a connection. At the limit the connection is
/// closed instead of reused.
constexpr std::size_t max_refused_ids = 64;
/// Limit of answers to earlier requests that are skipped before the answer to the current one.
constexpr int max_stray_answers = 4;

bool is_hop_by_hop(std::string_view name)
{
    const auto is_named = [&](const char* other) {
        return shell::is_same_name(name, other);
    };
    return is_named(header::not_executed) || is_named(header::load);
}

std::optional<mesh::backend_load_report> read_load(std::string_view text)
{
    std::array<int, 3> values{};
    for (auto& value : values) {
        const auto* end = text.data() + text.size();
        const auto [next, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc{}) {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(next - text.data()));
        if (!text.empty() && text.front() == ',') {
            text.remove_prefix(1);
        }
    }
    return mesh::backend_load_report{values[0], values[1], values[2]};
}

std::string_view header_value(const http::fields& fields, const char* name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

} // namespace

class app_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    class connection;

    implementation(asio::io_context& context, mesh::listen_address target, event_handler handler,
                   std::size_t buffered_limit_bytes)
        : io(context), address(std::move(target)), on_event(std::move(handler)),
          max_buffered_bytes(std::min(buffered_limit_bytes, highest_buffered_limit_bytes)),
          probe_timer(context)
    {
    }

    void send(const mesh::send_to_backend& request);
    std::shared_ptr<connection> pop_idle(const mesh::send_to_backend& request);
    std::size_t buffered_bytes() const;
    /// After a broken connection, connects once more to find out whether the backend server has
    /// exited. If it has not, the new connection joins the pool.
    void schedule_probe();
    void probe();
    /// Aborts the longest answer if the incomplete answers together exceed max_buffered_bytes.
    void enforce_buffer_limit();

    asio::io_context& io;
    mesh::listen_address address;
    event_handler on_event;
    std::size_t max_buffered_bytes;
    app_counters counters;
    std::map<mesh::run_id, std::shared_ptr<connection>> busy;
    /// Most recently used last.
    std::vector<std::shared_ptr<connection>> idle;
    asio::steady_timer probe_timer;
    bool probe_pending = false;
    bool closed = false;
};

/// A persistent connection: carries any number of requests, one after the other.
class app_client::implementation::connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(std::shared_ptr<implementation> owner)
        : owner_(std::move(owner)), socket_(owner_->io), timer_(owner_->io.get_executor())
    {
    }

    void connect_and_send(const mesh::send_to_backend& request);
    /// Connects and joins the pool without sending a request.
    void connect_idle();
    void send_request(const mesh::send_to_backend& request);
    void close()
    {
        closed_ = true;
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }
    /// Whether the idle connection is open, within its idle timeout and without unread input.
    bool is_usable()
    {
        error_code error;
        return !closed_ && steady_clock::now() < reusable_until_ && socket_.available(error) == 0 &&
               !error;
    }
    std::size_t buffered_bytes() const
    {
        return input_.size() + (parser_ ? parser_->get().body().size() : 0);
    }
    void fail(mesh::backend_request_failure kind, bool refused_connection = false);
    bool has_refused(const std::string& request) const { return refused_.contains(request); }
    bool was_used_recently() const
    {
        return steady_clock::now() - idle_since_ < max_idle_for_unsafe_reuse;
    }

private:
    using parser = http::response_parser<http::string_body>;

    void connect(const std::function<void(error_code)>& done);
    void write();
    void read();
    void read_some();
    void on_read(error_code error);
    void on_answer(error_code error);
    void deliver();
    void become_idle();
    void watch_idle();

    std::shared_ptr<implementation> owner_;
    tcp::socket socket_;
    shell::cancellable_timer timer_;
    boost::beast::flat_buffer input_{max_input_bytes};
    std::optional<parser> parser_;
    mesh::send_to_backend request_;
    std::string output_;
    bool closed_ = false;
    bool writing_ = false;
    /// The connection broke while the request was written. The system reports that once: reads see
    /// an orderly end afterwards.
    bool write_failed_ = false;
    bool answered_ = false;
    int stray_answers_ = 0;
    int interim_answers_ = 0;
    steady_clock::time_point idle_since_{};
    steady_clock::time_point reusable_until_{};
    /// Changes whenever the connection becomes idle or busy, so that a stale idle watch is ignored.
    std::uint64_t use_count_ = 0;
    /// Requests sent on this connection, including the current one.
    std::uint64_t request_count_ = 0;
    /// Ids of the requests refused on this connection: their refusals may be received again.
    std::set<std::string> refused_;
};

void app_client::implementation::connection::connect(const std::function<void(error_code)>& done)
{
    timer_.start(connect_timeout, [weak = weak_from_this(), done] {
        if (const auto self = weak.lock(); self && !self->closed_) {
            done(asio::error::timed_out);
        }
    });
    const tcp::endpoint target(asio::ip::make_address(owner_->address.host), owner_->address.port);
    ++owner_->counters.connections;
    socket_.async_connect(target, [self = shared_from_this(), done](error_code error) {
        if (self->closed_) {
            return;
        }
        self->timer_.cancel();
        if (error) {
            ++self->owner_->counters.failed_connections;
        } else {
            shell::set_tcp_options(self->socket_);
        }
        done(error);
    });
}

void app_client::implementation::connection::connect_and_send(const mesh::send_to_backend& request)
{
    request_ = request;
    connect([self = shared_from_this()](error_code error) {
        if (!error) {
            self->write();
            return;
        }
        if (error == asio::error::connection_refused) {
            self->owner_->on_event(mesh::backend_not_listening{});
        }
        self->fail(mesh::backend_request_failure::unsent, true);
    });
}

void app_client::implementation::connection::connect_idle()
{
    connect([self = shared_from_this()](error_code error) {
        self->owner_->probe_pending = false;
        if (self->owner_->closed) {
            self->close();
            return;
        }
        if (!error) {
            self->reusable_until_ = steady_clock::now() + default_idle_timeout;
            self->become_idle();
            return;
        }
        self->close();
        if (error == asio::error::connection_refused) {
            self->owner_->on_event(mesh::backend_not_listening{});
        }
    });
}

void app_client::implementation::connection::send_request(const mesh::send_to_backend& request)
{
    request_ = request;
    // Cancels the idle watch; its handler ignores the event if use_count_ has changed.
    ++use_count_;
    error_code ignored;
    socket_.cancel(ignored);
    write();
}

void app_client::implementation::connection::write()
{
    // Connecting takes up to connect_timeout, and longer when the process stood still.
    const auto time_left =
        std::chrono::duration_cast<mesh::milliseconds>(request_.deadline - monotonic_now());
    if (time_left.count() <= 0) {
        asio::post(owner_->io, [self = shared_from_this()] {
            if (!self->closed_) {
                self->fail(mesh::backend_request_failure::expired);
            }
        });
        return;
    }
    const auto& content = *request_.content;
    output_ = content.method + " " + content.target + " HTTP/1.1\r\n" + content.head;
    shell::add_field(output_, header::time_left, std::to_string(time_left.count()));
    shell::add_field(output_, header::expected_backend, request_.expected.value());
    shell::add_field(output_, header::caller_service, request_.caller_service);
    if (!request_.organisation.value().empty()) {
        shell::add_field(output_, header::organisation, request_.organisation.value());
    }
    if (!content.body.empty() || (content.method != "GET" && content.method != "HEAD")) {
        shell::add_field(output_, "Content-Length", std::to_string(content.body.size()));
    }
    output_ += "\r\n";
    ++owner_->counters.requests;
    ++request_count_;
    answered_ = false;
    stray_answers_ = 0;
    interim_answers_ = 0;
    writing_ = true;
    write_failed_ = false;
    const std::array<asio::const_buffer, 2> message{asio::buffer(output_),
                                                    asio::buffer(content.body)};
    asio::async_write(
        socket_, message,
        [self = shared_from_this(), kept = request_.content](error_code error, std::size_t) {
            self->writing_ = false;
            self->write_failed_ = bool(error);
            // The pending read reports a failed write; it may still get an answer.
            if (!error && self->answered_ && !self->closed_) {
                self->become_idle();
            }
        });
    read();
}

void app_client::implementation::connection::read()
{
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(max_answer_bytes);
    if (request_.content->method == "HEAD") {
        parser_->skip(true);
    }
    // In eager mode the parser reads further by itself if the input ends within a chunk, which
    // delays the size checks in on_read().
    parser_->eager(false);
    read_some();
}

void app_client::implementation::connection::read_some()
{
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->closed_) {
                                  self->on_read(error);
                              }
                          });
}

void app_client::implementation::connection::on_read(error_code error)
{
    const bool has_head = parser_->is_header_done();
    // Beast allocates the announced Content-Length before it checks body_limit.
    const auto content_length =
        has_head && !parser_->is_done() ? parser_->content_length() : boost::none;
    if (buffered_bytes() > max_answer_bytes ||
        (content_length && *content_length > max_answer_bytes)) {
        fail(mesh::backend_request_failure::garbled);
        return;
    }
    if (error || parser_->is_done()) {
        on_answer(error);
        return;
    }
    if (buffered_bytes() > large_read_threshold_bytes) {
        input_.reserve(max_head_bytes);
    }
    owner_->enforce_buffer_limit();
    if (!closed_) {
        read_some();
    }
}

void app_client::implementation::connection::on_answer(error_code error)
{
    if (error) {
        const bool is_parse_error =
            error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        fail(is_parse_error ? mesh::backend_request_failure::garbled
                            : mesh::backend_request_failure::broken);
        return;
    }
    if (write_failed_ && parser_->need_eof()) {
        fail(mesh::backend_request_failure::broken);
        return;
    }
    const auto& message = parser_->get();
    if (message.result_int() < 200) {
        if (++interim_answers_ > max_interim_answers) {
            fail(mesh::backend_request_failure::garbled);
            return;
        }
        read();
        return;
    }
    const auto id = header_value(message, header::request_id);
    if (id.empty() && request_count_ > 1) {
        // This may be a repeated answer to an earlier request: the outcome of the current request
        // is unknown.
        ++owner_->counters.stray_answers;
        fail(mesh::backend_request_failure::garbled);
        return;
    }
    if (!id.empty() && id != request_.content->id) {
        // A repeated answer to an earlier request: the answer to the current one follows.
        ++owner_->counters.stray_answers;
        if (++stray_answers_ > max_stray_answers || !parser_->keep_alive()) {
            fail(mesh::backend_request_failure::garbled);
            return;
        }
        read();
        return;
    }
    const bool success = message.result_int() < 300;
    const bool valid = shell::is_sound(message) &&
                       message.count(http::field::content_encoding) == 0 &&
                       (!success || (!id.empty() && message.count(header::signature) == 1));
    if (!valid) {
        fail(mesh::backend_request_failure::garbled);
        return;
    }
    deliver();
}

void app_client::implementation::connection::deliver()
{
    auto& message = parser_->get();
    mesh::backend_answered event;
    event.run = request_.run;
    event.not_executed = message.count(header::not_executed) > 0;
    event.other_instance = message.result_int() == 421;
    event.load = read_load(header_value(message, header::load));
    auto content = std::make_shared<mesh::answer>();
    content->status = static_cast<std::int32_t>(message.result_int());
    content->head = shell::end_to_end_fields(message, is_hop_by_hop);
    std::chrono::milliseconds idle_timeout = default_idle_timeout;
    const auto keep_alive_field = header_value(message, "Keep-Alive");
    if (const auto at = keep_alive_field.find("timeout="); at != std::string_view::npos) {
        int seconds = 0;
        const auto text = keep_alive_field.substr(at + std::string_view("timeout=").size());
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        idle_timeout = std::chrono::milliseconds(1s) * seconds * idle_reuse_percent / 100;
    }
    reusable_until_ = steady_clock::now() + idle_timeout;
    if (event.not_executed || event.other_instance) {
        refused_.insert(request_.content->id);
    }
    const bool reusable =
        parser_->keep_alive() && input_.size() == 0 && refused_.size() < max_refused_ids;
    content->body = std::move(message.body());
    event.content = std::move(content);
    const auto self = shared_from_this();
    owner_->busy.erase(request_.run);
    answered_ = true;
    if (!reusable) {
        if (input_.size() > 0) {
            ++owner_->counters.stray_answers;
        }
        close();
    } else if (!writing_) {
        become_idle();
    }
    owner_->on_event(std::move(event));
}

void app_client::implementation::connection::become_idle()
{
    idle_since_ = steady_clock::now();
    // An idle connection keeps no body.
    request_.content.reset();
    if (owner_->closed) {
        close();
        return;
    }
    ++use_count_;
    owner_->idle.push_back(shared_from_this());
    watch_idle();
}

void app_client::implementation::connection::watch_idle()
{
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), use = use_count_](error_code error) {
                           if (error || self->closed_ || use != self->use_count_) {
                               return;
                           }
                           // The backend server closed the connection or sent unrequested bytes.
                           std::erase(self->owner_->idle, self);
                           self->close();
                       });
}

void app_client::implementation::connection::fail(mesh::backend_request_failure kind,
                                                  bool refused_connection)
{
    const auto self = shared_from_this();
    owner_->busy.erase(request_.run);
    close();
    owner_->on_event(mesh::backend_request_failed{request_.run, kind, refused_connection});
    if (kind == mesh::backend_request_failure::broken) {
        owner_->schedule_probe();
    }
}

void app_client::implementation::schedule_probe()
{
    if (probe_pending || closed) {
        return;
    }
    probe_pending = true;
    probe_timer.expires_after(probe_delay);
    probe_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->closed) {
            self->probe();
        }
    });
}

void app_client::implementation::probe()
{
    // An idle connection that is still open shows that the backend server is running.
    if (!idle.empty()) {
        probe_pending = false;
        return;
    }
    std::make_shared<connection>(shared_from_this())->connect_idle();
}

std::shared_ptr<app_client::implementation::connection>
app_client::implementation::pop_idle(const mesh::send_to_backend& request)
{
    while (!idle.empty()) {
        auto candidate = idle.back();
        const bool usable = candidate->is_usable();
        if (usable && ((request.unsafe && !candidate->was_used_recently()) ||
                       candidate->has_refused(request.content->id))) {
            return nullptr;
        }
        idle.pop_back();
        if (usable) {
            return candidate;
        }
        candidate->close();
    }
    return nullptr;
}

std::size_t app_client::implementation::buffered_bytes() const
{
    std::size_t total = 0;
    for (const auto& [run, busy_connection] : busy) {
        total += busy_connection->buffered_bytes();
    }
    return total;
}

void app_client::implementation::enforce_buffer_limit()
{
    // Each connection may buffer one more read before this limit is checked again.
    if (buffered_bytes() + busy.size() * max_input_bytes <= max_buffered_bytes) {
        return;
    }
    const auto longest =
        std::max_element(busy.begin(), busy.end(), [](const auto& left, const auto& right) {
            return left.second->buffered_bytes() < right.second->buffered_bytes();
        });
    const auto busy_connection = longest->second;
    if (busy_connection->buffered_bytes() > large_read_threshold_bytes) {
        busy_connection->fail(mesh::backend_request_failure::garbled);
    }
}

void app_client::implementation::send(const mesh::send_to_backend& request)
{
    if (const auto reused = pop_idle(request)) {
        busy.emplace(request.run, reused);
        reused->send_request(request);
        return;
    }
    const auto created = std::make_shared<connection>(shared_from_this());
    busy.emplace(request.run, created);
    created->connect_and_send(request);
}

app_client::app_client(asio::io_context& io, mesh::listen_address address, event_handler on_event,
                       std::size_t max_buffered_bytes)
    : impl_(std::make_shared<implementation>(io, std::move(address), std::move(on_event),
                                             max_buffered_bytes))
{
}

app_client::~app_client()
{
    impl_->closed = true;
    impl_->probe_timer.cancel();
    for (const auto& connection : impl_->idle) {
        connection->close();
    }
    for (const auto& [run, connection] : impl_->busy) {
        connection->close();
    }
}

void app_client::send(const mesh::send_to_backend& request)
{
    impl_->send(request);
}

void app_client::cancel(mesh::run_id run)
{
    const auto found = impl_->busy.find(run);
    if (found != impl_->busy.end()) {
        const auto connection = found->second;
        impl_->busy.erase(found);
        connection->close();
    }
}

std::size_t app_client::buffered_bytes() const
{
    return impl_->buffered_bytes();
}

const app_counters& app_client::counters() const
{
    return impl_->counters;
}

} // namespace camphor::sidecar
