// Requests to the backend server beside the node.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libshell/http_head.h"
#include "libshell/tcp_options.h"
#include "libsidecar/app_client.h"
#include "platform/header_names.h"

#include <algorithm>
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

/// On one machine a connection opens at once or not at all.
constexpr auto connect_timeout = 1s;
/// A process that ends closes its connections one after the other, its listening one among them.
constexpr auto probe_delay = 50ms;
/// Part of the announced idle time for which a connection is used again, in percent.
constexpr int used_idle_percent = 80;
/// Idle time of a connection that announced none.
constexpr auto default_idle = 4s;
/// A request that must not run twice takes a connection only when it was in use so lately: a
/// connection that the other side closed meanwhile leaves open whether the request was read.
constexpr auto fresh_idle = 1500ms;
/// Longest answer. Well over those of both meshes (30 KB), and with its copies below the longest
/// frame between nodes and the memory of the smallest machines (160 MB).
constexpr std::size_t answer_limit_bytes = 4ULL * 1024 * 1024;
/// Of all answers that are not whole yet: a tenth of that memory. The longest one gives way.
constexpr std::size_t held_limit_bytes = 16ULL * 1024 * 1024;
constexpr std::size_t head_limit_bytes = 64ULL * 1024;
/// Bytes that wait to be parsed: the longest head and one read.
constexpr std::size_t input_limit_bytes = 2 * head_limit_bytes;
/// From so many bytes on an answer is read in large parts; before, a read takes some 512 bytes.
constexpr std::size_t long_answer_bytes = 16ULL * 1024;
/// Interim answers (1xx) to one request.
constexpr int most_interim_answers = 16;
/// Refusals on a connection that are remembered; it is not kept for longer.
constexpr std::size_t most_refused_ids = 64;
/// Answers to other requests that are skipped in search of the own one.
constexpr int most_stray_answers = 4;

bool is_per_hop(std::string_view name)
{
    const auto same = [&](const char* other) {
        return shell::is_same_name(name, other);
    };
    return same(header::not_executed) || same(header::load);
}

std::optional<mesh::reported_load> read_load(std::string_view text)
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
    return mesh::reported_load{values[0], values[1], values[2]};
}

std::string_view value_of(const http::fields& fields, const char* name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

} // namespace

class app_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    class connection;

    implementation(asio::io_context& context, mesh::listen_address target, event_function handler)
        : io(context), address(std::move(target)), on_event(std::move(handler)),
          probe_timer(context)
    {
    }

    void send(const mesh::send_to_app& order);
    std::shared_ptr<connection> take_idle(const mesh::send_to_app& order);
    std::size_t bytes_held() const;
    /// A connection broke: finds out whether the backend server has ended, and keeps the connection
    /// made for that when it has not.
    void probe_soon();
    void probe();
    /// Gives the longest answer up when all that are not whole yet hold too much.
    void bound_held_bytes();

    asio::io_context& io;
    mesh::listen_address address;
    event_function on_event;
    app_counters counters;
    std::map<mesh::run_id, std::shared_ptr<connection>> busy;
    /// Newest last.
    std::vector<std::shared_ptr<connection>> idle;
    asio::steady_timer probe_timer;
    bool probe_pending = false;
    bool closed = false;
};

/// One connection: connect, then write a request and read its answer, any number of times.
class app_client::implementation::connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(std::shared_ptr<implementation> owner)
        : owner_(std::move(owner)), socket_(owner_->io), timer_(owner_->io)
    {
    }

    void connect_and_run(const mesh::send_to_app& order);
    /// Connects and becomes idle.
    void connect_and_wait();
    void run(const mesh::send_to_app& order);
    void close()
    {
        closed_ = true;
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }
    /// Idle, and neither closed nor written to by the other side.
    bool is_clean()
    {
        error_code error;
        return !closed_ && steady_clock::now() < usable_until_ && socket_.available(error) == 0 &&
               !error;
    }
    std::size_t bytes_held() const
    {
        return input_.size() + (parser_ ? parser_->get().body().size() : 0);
    }
    void fail(mesh::app_failure kind, bool refused_connection = false);
    bool has_refused(const std::string& request) const { return refused_.contains(request); }
    bool is_fresh() const { return steady_clock::now() - idle_since_ < fresh_idle; }

private:
    using parser = http::response_parser<http::string_body>;

    void connect(std::function<void(error_code)> done);
    void write();
    void read();
    void read_part();
    void on_part(error_code error);
    void on_answer(error_code error);
    void deliver();
    void become_idle();
    void watch_idle();

    std::shared_ptr<implementation> owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer input_{input_limit_bytes};
    std::optional<parser> parser_;
    mesh::send_to_app order_;
    std::string output_;
    bool closed_ = false;
    bool writing_ = false;
    bool answered_ = false;
    int strays_ = 0;
    int interim_answers_ = 0;
    steady_clock::time_point idle_since_{};
    steady_clock::time_point usable_until_{};
    std::uint64_t uses_ = 0;
    /// Requests that this connection carried, the current one among them.
    std::uint64_t requests_ = 0;
    /// Ids of those that were refused on it: their refusals may come once more.
    std::set<std::string> refused_;
};

void app_client::implementation::connection::connect(std::function<void(error_code)> done)
{
    timer_.expires_after(connect_timeout);
    timer_.async_wait([weak = weak_from_this(), done](error_code error) {
        if (const auto self = weak.lock(); self && !error && !self->closed_) {
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

void app_client::implementation::connection::connect_and_run(const mesh::send_to_app& order)
{
    order_ = order;
    connect([self = shared_from_this()](error_code error) {
        if (!error) {
            self->write();
            return;
        }
        if (error == asio::error::connection_refused) {
            self->owner_->on_event(mesh::app_gone{});
        }
        self->fail(mesh::app_failure::unsent, true);
    });
}

void app_client::implementation::connection::connect_and_wait()
{
    connect([self = shared_from_this()](error_code error) {
        self->owner_->probe_pending = false;
        if (self->owner_->closed) {
            self->close();
            return;
        }
        if (!error) {
            self->usable_until_ = steady_clock::now() + default_idle;
            self->become_idle();
            return;
        }
        self->close();
        if (error == asio::error::connection_refused) {
            self->owner_->on_event(mesh::app_gone{});
        }
    });
}

void app_client::implementation::connection::run(const mesh::send_to_app& order)
{
    order_ = order;
    // Ends the watch for a close while idle; its handler sees the changed use.
    ++uses_;
    error_code ignored;
    socket_.cancel(ignored);
    write();
}

void app_client::implementation::connection::write()
{
    const auto& content = *order_.content;
    output_ = content.method + " " + content.target + " HTTP/1.1\r\n" + content.head;
    shell::add_field(output_, header::time_left, std::to_string(order_.time_left.count()));
    shell::add_field(output_, header::expected_backend, order_.expected.value());
    shell::add_field(output_, header::caller_service, order_.caller_service);
    if (!content.body.empty() || (content.method != "GET" && content.method != "HEAD")) {
        shell::add_field(output_, "Content-Length", std::to_string(content.body.size()));
    }
    output_ += "\r\n";
    output_ += content.body;
    ++owner_->counters.requests;
    ++requests_;
    answered_ = false;
    strays_ = 0;
    interim_answers_ = 0;
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          self->writing_ = false;
                          // A failed write shows in the read, which may still find an answer.
                          if (!error && self->answered_ && !self->closed_) {
                              self->become_idle();
                          }
                      });
    read();
}

void app_client::implementation::connection::read()
{
    parser_.emplace();
    parser_->header_limit(head_limit_bytes);
    parser_->body_limit(answer_limit_bytes);
    if (order_.content->method == "HEAD") {
        parser_->skip(true);
    }
    // An eager parser reads on by itself while what came ends within a chunk.
    parser_->eager(false);
    read_part();
}

void app_client::implementation::connection::read_part()
{
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->closed_) {
                                  self->on_part(error);
                              }
                          });
}

void app_client::implementation::connection::on_part(error_code error)
{
    const bool has_head = parser_->is_header_done();
    // Beast makes room for the announced length before it compares it with the limit.
    const auto announced =
        has_head && !parser_->is_done() ? parser_->content_length() : boost::none;
    if (bytes_held() > answer_limit_bytes || (announced && *announced > answer_limit_bytes)) {
        fail(mesh::app_failure::garbled);
        return;
    }
    if (error || parser_->is_done()) {
        on_answer(error);
        return;
    }
    if (bytes_held() > long_answer_bytes) {
        input_.reserve(head_limit_bytes);
    }
    owner_->bound_held_bytes();
    if (!closed_) {
        read_part();
    }
}

void app_client::implementation::connection::on_answer(error_code error)
{
    if (error) {
        const bool parse_fault =
            error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        fail(parse_fault ? mesh::app_failure::garbled : mesh::app_failure::broken);
        return;
    }
    const auto& message = parser_->get();
    if (message.result_int() < 200) {
        if (++interim_answers_ > most_interim_answers) {
            fail(mesh::app_failure::garbled);
            return;
        }
        read();
        return;
    }
    const auto id = value_of(message, header::request_id);
    if (id.empty() && requests_ > 1) {
        // It may answer an earlier request once more: nothing tells what became of this one.
        ++owner_->counters.stray_answers;
        fail(mesh::app_failure::garbled);
        return;
    }
    if (!id.empty() && id != order_.content->id) {
        // A late second answer to an earlier request: the own one follows it.
        ++owner_->counters.stray_answers;
        if (++strays_ > most_stray_answers || !parser_->keep_alive()) {
            fail(mesh::app_failure::garbled);
            return;
        }
        read();
        return;
    }
    const bool success = message.result_int() < 300;
    const bool sound = shell::is_sound(message) &&
                       message.count(http::field::content_encoding) == 0 &&
                       (!success || (!id.empty() && message.count(header::signature) == 1));
    if (!sound) {
        fail(mesh::app_failure::garbled);
        return;
    }
    deliver();
}

void app_client::implementation::connection::deliver()
{
    auto& message = parser_->get();
    mesh::app_answered happened;
    happened.run = order_.run;
    happened.not_executed = message.count(header::not_executed) > 0;
    happened.other_instance = message.result_int() == 421;
    happened.load = read_load(value_of(message, header::load));
    auto content = std::make_shared<mesh::answer>();
    content->status = static_cast<std::int32_t>(message.result_int());
    content->head = shell::end_to_end_fields(message, is_per_hop);
    std::chrono::milliseconds idle_for = default_idle;
    const auto keep = value_of(message, "Keep-Alive");
    if (const auto at = keep.find("timeout="); at != std::string_view::npos) {
        int seconds = 0;
        const auto text = keep.substr(at + std::string_view("timeout=").size());
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        idle_for = std::chrono::milliseconds(1s) * seconds * used_idle_percent / 100;
    }
    usable_until_ = steady_clock::now() + idle_for;
    if (happened.not_executed || happened.other_instance) {
        refused_.insert(order_.content->id);
    }
    const bool reusable =
        parser_->keep_alive() && input_.size() == 0 && refused_.size() < most_refused_ids;
    content->body = std::move(message.body());
    happened.content = std::move(content);
    const auto self = shared_from_this();
    owner_->busy.erase(order_.run);
    answered_ = true;
    if (!reusable) {
        if (input_.size() > 0) {
            ++owner_->counters.stray_answers;
        }
        close();
    } else if (!writing_) {
        become_idle();
    }
    owner_->on_event(std::move(happened));
}

void app_client::implementation::connection::become_idle()
{
    idle_since_ = steady_clock::now();
    if (owner_->closed) {
        close();
        return;
    }
    ++uses_;
    owner_->idle.push_back(shared_from_this());
    watch_idle();
}

void app_client::implementation::connection::watch_idle()
{
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), use = uses_](error_code error) {
                           if (error || self->closed_ || use != self->uses_) {
                               return;
                           }
                           // Closed by the other side, or bytes that nobody asked for.
                           std::erase(self->owner_->idle, self);
                           self->close();
                       });
}

void app_client::implementation::connection::fail(mesh::app_failure kind, bool refused_connection)
{
    const auto self = shared_from_this();
    owner_->busy.erase(order_.run);
    close();
    owner_->on_event(mesh::app_failed{order_.run, kind, refused_connection});
    if (kind == mesh::app_failure::broken) {
        owner_->probe_soon();
    }
}

void app_client::implementation::probe_soon()
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
    // A kept connection that is open shows that the backend server lives.
    if (!idle.empty()) {
        probe_pending = false;
        return;
    }
    std::make_shared<connection>(shared_from_this())->connect_and_wait();
}

std::shared_ptr<app_client::implementation::connection>
app_client::implementation::take_idle(const mesh::send_to_app& order)
{
    while (!idle.empty()) {
        auto item = idle.back();
        const bool clean = item->is_clean();
        if (clean &&
            ((order.unsafe && !item->is_fresh()) || item->has_refused(order.content->id))) {
            return nullptr;
        }
        idle.pop_back();
        if (clean) {
            return item;
        }
        item->close();
    }
    return nullptr;
}

std::size_t app_client::implementation::bytes_held() const
{
    std::size_t out = 0;
    for (const auto& [run, item] : busy) {
        out += item->bytes_held();
    }
    return out;
}

void app_client::implementation::bound_held_bytes()
{
    // Each connection may add a read before its next look at the sum.
    if (bytes_held() + busy.size() * input_limit_bytes <= held_limit_bytes) {
        return;
    }
    const auto longest =
        std::max_element(busy.begin(), busy.end(), [](const auto& left, const auto& right) {
            return left.second->bytes_held() < right.second->bytes_held();
        });
    const auto item = longest->second;
    if (item->bytes_held() > long_answer_bytes) {
        item->fail(mesh::app_failure::garbled);
    }
}

void app_client::implementation::send(const mesh::send_to_app& order)
{
    if (const auto kept = take_idle(order)) {
        busy.emplace(order.run, kept);
        kept->run(order);
        return;
    }
    const auto made = std::make_shared<connection>(shared_from_this());
    busy.emplace(order.run, made);
    made->connect_and_run(order);
}

app_client::app_client(asio::io_context& io, mesh::listen_address address, event_function on_event)
    : self_(std::make_shared<implementation>(io, std::move(address), std::move(on_event)))
{
}

app_client::~app_client()
{
    self_->closed = true;
    self_->probe_timer.cancel();
    for (const auto& item : self_->idle) {
        item->close();
    }
    for (const auto& [run, item] : self_->busy) {
        item->close();
    }
}

void app_client::send(const mesh::send_to_app& order)
{
    self_->send(order);
}

void app_client::drop(mesh::run_id run)
{
    const auto found = self_->busy.find(run);
    if (found != self_->busy.end()) {
        const auto item = found->second;
        self_->busy.erase(found);
        item->close();
    }
}

std::size_t app_client::bytes_held() const
{
    return self_->bytes_held();
}

const app_counters& app_client::counters() const
{
    return self_->counters;
}

} // namespace camphor::sidecar
