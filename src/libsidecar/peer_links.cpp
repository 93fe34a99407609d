// Frames between nodes.
#include <utility>

#include <boost/asio.hpp>

#include "libmesh/frame_batch.h"
#include "libshell/tcp_options.h"
#include "libshell/wire_codec.h"
#include "libsidecar/peer_links.h"

#include <array>
#include <map>
#include <string>

namespace camphor::sidecar {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr auto dial_timeout = 1s;
/// Bytes that may wait for one peer.
constexpr std::size_t queue_limit_bytes = 32ULL * 1024 * 1024;
constexpr std::size_t read_bytes = 16ULL * 1024;
constexpr int listen_backlog = 1'024;

} // namespace

class peer_links::implementation : public std::enable_shared_from_this<implementation> {
public:
    class link;

    implementation(asio::io_context& context, event_function handler)
        : io(context), on_event(std::move(handler)), acceptor(context)
    {
    }

    void listen(const mesh::listen_address& own);
    void accept_next();

    asio::io_context& io;
    event_function on_event;
    tcp::acceptor acceptor;
    peer_counters counters;
    std::map<mesh::link_id, std::shared_ptr<link>> links;
    std::uint64_t last_link = 0;
    bool closed = false;
};

class peer_links::implementation::link : public std::enable_shared_from_this<link> {
public:
    link(std::shared_ptr<implementation> owner, mesh::link_id id, tcp::socket socket)
        : owner_(std::move(owner)), id_(id), socket_(std::move(socket)), timer_(owner_->io)
    {
    }

    void dial(const mesh_wire::node_record& peer)
    {
        dialled_ = node_id{peer.node};
        error_code bad;
        const auto address = asio::ip::make_address(peer.host, bad);
        if (bad) {
            asio::post(owner_->io, [self = shared_from_this()] { self->end(); });
            return;
        }
        timer_.expires_after(dial_timeout);
        timer_.async_wait([weak = weak_from_this()](error_code error) {
            if (const auto self = weak.lock(); self && !error) {
                self->end();
            }
        });
        socket_.async_connect({address, static_cast<std::uint16_t>(peer.port)},
                              [self = shared_from_this()](error_code error) {
                                  self->timer_.cancel();
                                  if (error || self->ended_) {
                                      self->end();
                                  } else {
                                      self->open();
                                  }
                              });
    }

    void open()
    {
        shell::set_tcp_options(socket_);
        owner_->on_event(mesh::link_opened{id_, dialled_});
        read();
    }

    void send(const std::string& bytes)
    {
        if (waiting_.size() + bytes.size() > queue_limit_bytes) {
            asio::post(owner_->io, [self = shared_from_this()] { self->end(); });
            return;
        }
        ++owner_->counters.frames_sent;
        owner_->counters.bytes_sent += bytes.size();
        waiting_ += bytes;
        if (!flush_posted_ && !writing_) {
            // Frames of one turn leave in one write.
            flush_posted_ = true;
            asio::post(owner_->io, [self = shared_from_this()] {
                self->flush_posted_ = false;
                self->write();
            });
        }
    }

    std::size_t bytes_waiting() const { return waiting_.size() + sending_.size(); }

    /// Ends the connection once all that waits was written.
    void end_after_write()
    {
        end_when_written_ = true;
        if (!writing_ && waiting_.empty()) {
            error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    void end()
    {
        if (ended_) {
            return;
        }
        ended_ = true;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        owner_->links.erase(id_);
        owner_->on_event(mesh::link_closed{id_, dialled_});
    }

private:
    void write()
    {
        if (writing_ || waiting_.empty() || ended_) {
            return;
        }
        writing_ = true;
        sending_.swap(waiting_);
        waiting_.clear();
        asio::async_write(socket_, asio::buffer(sending_),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              self->writing_ = false;
                              self->sending_.clear();
                              if (error) {
                                  self->end();
                                  return;
                              }
                              self->write();
                              if (self->end_when_written_) {
                                  self->end_after_write();
                              }
                          });
    }

    void read()
    {
        const auto used = input_.size();
        input_.resize(used + read_bytes);
        socket_.async_read_some(
            asio::buffer(input_.data() + used, read_bytes),
            [self = shared_from_this(), used](error_code error, std::size_t received) {
                if (self->ended_) {
                    return;
                }
                self->input_.resize(used + received);
                if (error) {
                    self->end();
                    return;
                }
                self->owner_->counters.bytes_received += received;
                if (self->take_frames()) {
                    self->read();
                }
            });
    }

    /// False when the connection was ended.
    bool take_frames()
    {
        std::vector<mesh::frame_ptr> batch;
        const bool is_sound = decode_frames(batch);
        mesh::drop_cancelled_runs(batch);
        for (auto& frame : batch) {
            owner_->on_event(mesh::frame_arrived{id_, std::move(frame)});
            if (ended_) {
                return false;
            }
        }
        if (!is_sound) {
            ++owner_->counters.refused_frames;
            end();
        }
        return is_sound;
    }

    /// Moves the whole frames of the input to `batch`; false when one cannot be read.
    bool decode_frames(std::vector<mesh::frame_ptr>& batch)
    {
        std::size_t at = 0;
        try {
            while (input_.size() - at >= shell::frame_header_bytes) {
                const auto* begin = reinterpret_cast<const std::uint8_t*>(input_.data()) + at;
                const auto length = shell::decode_length(begin);
                if (input_.size() - at < shell::frame_header_bytes + length) {
                    break;
                }
                batch.push_back(
                    std::make_shared<const mesh_wire::mesh_frame>(shell::decode_mesh_frame(
                        input_.substr(at + shell::frame_header_bytes, length))));
                at += shell::frame_header_bytes + length;
                ++owner_->counters.frames_received;
            }
        } catch (const shell::wire_error&) {
            return false;
        }
        input_.erase(0, at);
        return true;
    }

    std::shared_ptr<implementation> owner_;
    mesh::link_id id_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::optional<node_id> dialled_;
    std::string input_;
    std::string waiting_;
    std::string sending_;
    bool writing_ = false;
    bool flush_posted_ = false;
    bool end_when_written_ = false;
    bool ended_ = false;
};

void peer_links::implementation::listen(const mesh::listen_address& own)
{
    const tcp::endpoint endpoint(asio::ip::make_address(own.host), own.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(listen_backlog);
    accept_next();
}

void peer_links::implementation::accept_next()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (self->closed || error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const mesh::link_id id{++self->last_link};
            const auto made = std::make_shared<link>(self, id, std::move(socket));
            self->links.emplace(id, made);
            made->open();
        }
        self->accept_next();
    });
}

peer_links::peer_links(asio::io_context& io, const mesh::listen_address& own,
                       event_function on_event)
    : self_(std::make_shared<implementation>(io, std::move(on_event)))
{
    self_->listen(own);
}

peer_links::~peer_links()
{
    close_all();
}

void peer_links::dial(const mesh_wire::node_record& peer)
{
    const mesh::link_id id{++self_->last_link};
    const auto made = std::make_shared<implementation::link>(self_, id, tcp::socket(self_->io));
    self_->links.emplace(id, made);
    made->dial(peer);
}

void peer_links::send(mesh::link_id link, const mesh_wire::mesh_frame& frame)
{
    const auto found = self_->links.find(link);
    if (found != self_->links.end()) {
        found->second->send(shell::encode_frame(frame));
    }
}

void peer_links::close(mesh::link_id link)
{
    const auto found = self_->links.find(link);
    if (found != self_->links.end()) {
        asio::post(self_->io, [item = found->second] { item->end(); });
    }
}

void peer_links::close_all()
{
    self_->closed = true;
    error_code ignored;
    self_->acceptor.close(ignored);
    self_->on_event = [](const mesh::event&) {
    };
    const auto all = self_->links;
    for (const auto& [id, item] : all) {
        item->end();
    }
}

std::size_t peer_links::bytes_waiting() const
{
    std::size_t out = 0;
    for (const auto& [id, item] : self_->links) {
        out += item->bytes_waiting();
    }
    return out;
}

const peer_counters& peer_links::counters() const
{
    return self_->counters;
}

} // namespace camphor::sidecar
