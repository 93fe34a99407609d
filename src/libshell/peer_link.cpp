// Frames between nodes over TCP.
#include <utility>

#include <boost/asio.hpp>

#include "libshell/cancellable_timer.h"
#include "libshell/peer_link.h"
#include "libshell/wire_codec.h"

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace camphor::shell {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// Frames waiting for one node; the oldest gives way, since newer state supersedes it.
constexpr std::size_t queue_frames = 256;
constexpr std::size_t queue_bytes = 32ULL * 1024 * 1024;
constexpr std::size_t incoming_limit = 1'024;
constexpr auto connect_timeout = 2s;
/// A connection that carries nothing for this long is closed.
constexpr auto idle_limit = 60s;
/// Frames from this size on are decoded outside the I/O thread.
constexpr std::size_t large_frame_bytes = 64ULL * 1024;

} // namespace

class peer_link::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, const node_settings& settings, event_sink& target,
                   log_function log_line)
        : io(context), own(settings), sink(target), log(std::move(log_line)), acceptor(context)
    {
    }

    void start(incarnation incarnation_now);
    void send(const send_frame& order);
    void close();

    class outgoing;
    class incoming;

    void accept_next();
    bool accepts(const wire::frame& frame, const std::string& from);
    void warn(const std::string& event, const std::string& detail)
    {
        log({log_level::warning, event, detail});
    }

    asio::io_context& io;
    const node_settings& own;
    event_sink& sink;
    log_function log;
    tcp::acceptor acceptor;
    incarnation life;
    peer_traffic traffic;
    worker_arena workers;
    std::map<peer_address, std::shared_ptr<outgoing>> peers;
    std::size_t open_incoming = 0;
    bool closed = false;
};

/// One connection to another node, opened when there is something to send.
class peer_link::implementation::outgoing : public std::enable_shared_from_this<outgoing> {
public:
    outgoing(std::shared_ptr<implementation> link, peer_address address)
        : link_(std::move(link)), address_(std::move(address)), socket_(link_->io),
          timer_(link_->io.get_executor())
    {
    }

    void send(std::string bytes)
    {
        queued_bytes_ += bytes.size();
        queue_.push_back(std::move(bytes));
        shed();
        if (state_ == state::idle) {
            connect();
        } else if (state_ == state::open && !writing_) {
            write();
        }
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        state_ = state::idle;
    }

private:
    enum class state : std::uint8_t { idle, connecting, open };

    /// The front frame is left alone while it is being written.
    void shed()
    {
        const std::size_t keep = writing_ ? 1 : 0;
        while (queue_.size() > keep + 1 &&
               (queue_.size() > queue_frames || queued_bytes_ > queue_bytes)) {
            const auto oldest = queue_.begin() + static_cast<std::ptrdiff_t>(keep);
            queued_bytes_ -= oldest->size();
            queue_.erase(oldest);
            ++link_->traffic.frames_dropped;
        }
    }

    void connect()
    {
        state_ = state::connecting;
        arm(connect_timeout);
        socket_ = tcp::socket(link_->io);
        error_code bad_address;
        const auto host = asio::ip::make_address(address_.host, bad_address);
        if (bad_address) {
            asio::post(link_->io, [self = shared_from_this()] { self->fail(); });
            return;
        }
        socket_.async_connect({host, address_.port},
                              [self = shared_from_this(), attempt = ++attempt_](error_code error) {
                                  self->on_connected(attempt, error);
                              });
    }

    void on_connected(std::uint64_t attempt, error_code error)
    {
        if (attempt != attempt_ || state_ != state::connecting) {
            return;
        }
        if (link_->closed || error) {
            fail();
            return;
        }
        state_ = state::open;
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        watch_for_close();
        write();
    }

    /// The other side sends nothing on this connection: a read ends when it closes.
    void watch_for_close()
    {
        socket_.async_read_some(asio::buffer(unused_),
                                [self = shared_from_this()](error_code error, std::size_t) {
                                    if (error != asio::error::operation_aborted) {
                                        self->fail();
                                    }
                                });
    }

    void write()
    {
        if (queue_.empty()) {
            arm(idle_limit);
            return;
        }
        writing_ = true;
        arm(idle_limit);
        asio::async_write(socket_, asio::buffer(queue_.front()),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                              self->on_written(error, bytes);
                          });
    }

    void on_written(error_code error, std::size_t bytes)
    {
        writing_ = false;
        if (error) {
            fail();
            return;
        }
        auto& traffic = link_->traffic;
        traffic.sent = byte_count{traffic.sent.value() + bytes};
        ++traffic.frames_sent;
        queued_bytes_ -= queue_.front().size();
        queue_.pop_front();
        write();
    }

    void arm(std::chrono::steady_clock::duration limit)
    {
        timer_.start(limit, [self = shared_from_this()] { self->fail(); });
    }

    /// Drops what waits; the sender's next frame opens a new connection.
    void fail()
    {
        if (state_ == state::idle || writing_) {
            error_code ignored;
            socket_.close(ignored);
            return;
        }
        close();
        link_->traffic.frames_dropped += queue_.size();
        queue_.clear();
        queued_bytes_ = 0;
    }

    std::shared_ptr<implementation> link_;
    peer_address address_;
    tcp::socket socket_;
    cancellable_timer timer_;
    state state_ = state::idle;
    /// Tells a connect that was given up from the one in progress.
    std::uint64_t attempt_ = 0;
    bool writing_ = false;
    /// Invariant: queued_bytes_ is the sum of the sizes in queue_.
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    std::array<char, 1> unused_{};
};

/// One connection from another node.
class peer_link::implementation::incoming : public std::enable_shared_from_this<incoming> {
public:
    incoming(std::shared_ptr<implementation> link, tcp::socket socket)
        : link_(std::move(link)), socket_(std::move(socket)), timer_(link_->io.get_executor())
    {
        ++link_->open_incoming;
        error_code ignored;
        from_ = socket_.remote_endpoint(ignored).address().to_string();
    }
    ~incoming() { --link_->open_incoming; }
    incoming(const incoming&) = delete;
    incoming& operator=(const incoming&) = delete;

    void read_header()
    {
        timer_.start(2 * idle_limit, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->close();
            }
        });
        asio::async_read(socket_, asio::buffer(header_),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!error) {
                                 self->read_body();
                             } else {
                                 self->close();
                             }
                         });
    }

private:
    void read_body()
    {
        try {
            body_.resize(decode_length(header_.data()));
        } catch (const wire_error& error) {
            refuse(error.what());
            return;
        }
        asio::async_read(socket_, asio::buffer(body_),
                         [self = shared_from_this()](error_code error, std::size_t bytes) {
                             if (!error) {
                                 self->on_body(bytes);
                             } else {
                                 self->close();
                             }
                         });
    }

    void on_body(std::size_t bytes)
    {
        auto& traffic = link_->traffic;
        traffic.received = byte_count{traffic.received.value() + bytes + frame_header_bytes};
        ++traffic.frames_received;
        if (bytes < large_frame_bytes) {
            decode_here();
        } else {
            decode_aside();
        }
    }

    void decode_here()
    {
        try {
            deliver(decode_frame(body_));
        } catch (const wire_error& error) {
            refuse(error.what());
        }
    }

    /// No further frame is read until this one is delivered, so that their order is kept.
    void decode_aside()
    {
        link_->workers.run([self = shared_from_this()] {
            auto frame = std::make_shared<wire::frame>();
            std::string problem;
            try {
                *frame = decode_frame(self->body_);
            } catch (const wire_error& error) {
                problem = error.what();
            }
            asio::post(self->link_->io, [self, frame, problem] {
                if (problem.empty()) {
                    self->deliver(std::move(*frame));
                } else {
                    self->refuse(problem);
                }
            });
        });
    }

    void deliver(wire::frame frame)
    {
        if (!link_->accepts(frame, from_)) {
            close();
            return;
        }
        link_->sink.post(frame_received{std::move(frame)});
        read_header();
    }

    void refuse(const std::string& why)
    {
        link_->warn("peer.refused", from_ + ": " + why);
        close();
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    std::shared_ptr<implementation> link_;
    tcp::socket socket_;
    cancellable_timer timer_;
    std::string from_;
    std::array<std::uint8_t, frame_header_bytes> header_{};
    std::string body_;
};

void peer_link::implementation::start(incarnation incarnation_now)
{
    life = incarnation_now;
    const tcp::endpoint endpoint(asio::ip::make_address(own.host), own.peer_port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    accept_next();
}

void peer_link::implementation::accept_next()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (self->closed || error == asio::error::operation_aborted) {
            return;
        }
        if (!error && self->open_incoming < incoming_limit) {
            std::make_shared<incoming>(self, std::move(socket))->read_header();
        }
        self->accept_next();
    });
}

bool peer_link::implementation::accepts(const wire::frame& frame, const std::string& from)
{
    if (frame.mesh != own.mesh) {
        warn("peer.refused", from + ": frame of mesh \"" + frame.mesh + "\"");
        return false;
    }
    if (frame.protocol != protocol_version) {
        warn("peer.refused", from + ": protocol " + std::to_string(frame.protocol));
        return false;
    }
    return true;
}

void peer_link::implementation::send(const send_frame& order)
{
    if (closed) {
        return;
    }
    auto frame = order.frame;
    frame.__set_mesh(own.mesh);
    frame.__set_sender(own.node.value());
    frame.__set_incarnation(life.value());
    frame.__set_protocol(protocol_version);
    auto& peer = peers[order.to];
    if (!peer) {
        peer = std::make_shared<outgoing>(shared_from_this(), order.to);
    }
    try {
        peer->send(encode_frame(frame));
    } catch (const wire_error& error) {
        warn("peer.not_sent", error.what());
    }
}

void peer_link::implementation::close()
{
    closed = true;
    error_code ignored;
    acceptor.close(ignored);
    for (auto& [address, peer] : peers) {
        peer->close();
    }
    peers.clear();
    // A task that outlived the io_context would destroy the connection's socket and timer after it.
    workers.wait();
}

peer_link::peer_link(asio::io_context& io, const node_settings& settings, event_sink& sink,
                     log_function log)
    : self_(std::make_shared<implementation>(io, settings, sink, std::move(log)))
{
}

peer_link::~peer_link()
{
    self_->close();
}

void peer_link::start(incarnation life)
{
    self_->start(life);
}

void peer_link::send(const send_frame& order)
{
    self_->send(order);
}

const peer_traffic& peer_link::traffic() const
{
    return self_->traffic;
}

} // namespace camphor::shell
