// Connections between nodes: framing, send queues and connection lifetimes.
#include <utility>

#include <boost/asio.hpp>

#include "libmesh/body_parts.h"
#include "libmesh/frame_batch.h"
#include "libshell/cancellable_timer.h"
#include "libshell/tcp_options.h"
#include "libshell/wire_codec.h"
#include "libsidecar/peer_links.h"

#include <algorithm>
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
/// Limit of the send queue of one connection.
constexpr std::size_t max_queued_bytes = 32ULL * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = 16ULL * 1024;
constexpr int listen_backlog = 1'024;

} // namespace

class peer_links::implementation : public std::enable_shared_from_this<implementation> {
public:
    class link;

    implementation(asio::io_context& context, event_handler handler, body_budgets shared_budgets)
        : io(context), on_event(std::move(handler)), budgets(std::move(shared_budgets)),
          acceptor(context)
    {
    }

    void listen(const mesh::listen_address& address);
    void accept_next();

    asio::io_context& io;
    event_handler on_event;
    body_budgets budgets;
    tcp::acceptor acceptor;
    peer_counters counters;
    std::map<mesh::link_id, std::shared_ptr<link>> links;
    std::uint64_t last_link_id = 0;
    bool closed = false;
};

class peer_links::implementation::link : public std::enable_shared_from_this<link> {
public:
    link(std::shared_ptr<implementation> owner, mesh::link_id id, tcp::socket socket)
        : owner_(std::move(owner)), id_(id), socket_(std::move(socket)),
          timer_(owner_->io.get_executor())
    {
    }

    void dial(const mesh_wire::node_record& peer)
    {
        dialled_node_ = node_id{peer.node};
        error_code parse_error;
        const auto address = asio::ip::make_address(peer.host, parse_error);
        if (parse_error) {
            asio::post(owner_->io, [self = shared_from_this()] { self->close(); });
            return;
        }
        timer_.start(dial_timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->close();
            }
        });
        socket_.async_connect({address, static_cast<std::uint16_t>(peer.port)},
                              [self = shared_from_this()](error_code error) {
                                  self->timer_.cancel();
                                  if (error || self->closed_) {
                                      self->close();
                                  } else {
                                      self->open();
                                  }
                              });
    }

    void open()
    {
        shell::set_tcp_options(socket_);
        owner_->on_event(mesh::link_opened{id_, dialled_node_});
        read();
    }

    void send(mesh_wire::mesh_frame frame, mesh::body_ptr body)
    {
        if (frame.__isset.cancel) {
            if (const auto notice = parts_.drop_run(frame.cancel.call)) {
                queue(shell::encode_frame(*notice));
            }
        }
        if (body && body->size() > mesh::body_part_bytes && frame.__isset.answer) {
            // The body of a run request is accounted for with the request itself.
            body = hold_answer(frame, body);
        }
        if (body && body->size() > mesh::body_part_bytes) {
            queue(shell::encode_frame(parts_.add(std::move(frame), std::move(body))));
            return;
        }
        if (body) {
            (frame.__isset.run ? frame.run.body : frame.answer.body) = *body;
        }
        queue(shell::encode_frame(frame));
    }

    void queue(const std::string& bytes)
    {
        if (queued_.size() + bytes.size() > max_queued_bytes) {
            asio::post(owner_->io, [self = shared_from_this()] { self->close(); });
            return;
        }
        ++owner_->counters.frames_sent;
        owner_->counters.bytes_sent += bytes.size();
        queued_ += bytes;
        if (!flush_posted_ && !writing_) {
            // Frames queued during one turn of the event loop are sent in a single write.
            flush_posted_ = true;
            asio::post(owner_->io, [self = shared_from_this()] {
                self->flush_posted_ = false;
                self->write();
            });
        }
    }

    std::size_t queued_bytes() const { return queued_.size() + sending_.size(); }

    /// Shuts the sending side down once the send queue is empty.
    void close_after_write()
    {
        close_when_written_ = true;
        if (!writing_ && queued_.empty() && parts_.empty()) {
            error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    void close()
    {
        if (closed_) {
            return;
        }
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        owner_->links.erase(id_);
        owner_->on_event(mesh::link_closed{id_, dialled_node_});
    }

private:
    void write()
    {
        if (writing_ || closed_) {
            return;
        }
        sending_.swap(queued_);
        queued_.clear();
        // One part a write, so that small frames wait for no more than that.
        if (const auto part = parts_.next_part()) {
            sending_ += shell::encode_frame(*part);
        }
        if (sending_.empty()) {
            return;
        }
        writing_ = true;
        asio::async_write(socket_, asio::buffer(sending_),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              self->writing_ = false;
                              self->sending_.clear();
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->write();
                              if (self->close_when_written_) {
                                  self->close_after_write();
                              }
                          });
    }

    void read()
    {
        const auto buffered = input_.size();
        input_.resize(buffered + read_chunk_bytes);
        socket_.async_read_some(
            asio::buffer(input_.data() + buffered, read_chunk_bytes),
            [self = shared_from_this(), buffered](error_code error, std::size_t received) {
                if (self->closed_) {
                    return;
                }
                self->input_.resize(buffered + received);
                if (error) {
                    self->close();
                    return;
                }
                self->owner_->counters.bytes_received += received;
                try {
                    if (self->deliver_frames()) {
                        self->read();
                    }
                } catch (const std::exception&) {
                    // Out of memory, for example; the requests on the link fail at once.
                    ++self->owner_->counters.invalid_frames;
                    self->close();
                }
            });
    }

    /// Reports all complete frames in the input. Returns false if the connection was closed.
    bool deliver_frames()
    {
        std::vector<mesh::frame_ptr> batch;
        const bool all_valid = decode_frames(batch);
        mesh::drop_cancelled_runs(batch);
        for (auto& frame : batch) {
            owner_->on_event(mesh::frame_arrived{id_, std::move(frame)});
            if (closed_) {
                return false;
            }
        }
        if (!all_valid) {
            ++owner_->counters.invalid_frames;
            close();
        }
        return all_valid;
    }

    /// Moves the complete frames of the input to `batch`. Returns false on an undecodable frame.
    bool decode_frames(std::vector<mesh::frame_ptr>& batch)
    {
        std::size_t offset = 0;
        try {
            while (input_.size() - offset >= shell::frame_header_bytes) {
                const auto* begin = reinterpret_cast<const std::uint8_t*>(input_.data()) + offset;
                const auto length = shell::decode_length(begin);
                if (input_.size() - offset < shell::frame_header_bytes + length) {
                    break;
                }
                auto frame = std::make_shared<const mesh_wire::mesh_frame>(shell::decode_mesh_frame(
                    input_.substr(offset + shell::frame_header_bytes, length)));
                if (frame->__isset.split) {
                    frame = add_split(*frame);
                } else if (frame->__isset.part) {
                    frame = add_part(*frame);
                }
                if (frame) {
                    drop_answered_run(*frame);
                    batch.push_back(std::move(frame));
                }
                offset += shell::frame_header_bytes + length;
                ++owner_->counters.frames_received;
            }
        } catch (const shell::wire_error&) {
            return false;
        } catch (const mesh::body_part_error&) {
            return false;
        }
        input_.erase(0, offset);
        return true;
    }

    /// A run request that is answered before all of it was sent has been refused.
    void drop_answered_run(const mesh_wire::mesh_frame& frame)
    {
        if (!frame.__isset.answer) {
            return;
        }
        if (const auto notice = parts_.drop_run(frame.answer.call)) {
            queue(shell::encode_frame(*notice));
        }
    }

    /// A frame whose body is accounted for.
    struct held_frame {
        mesh::frame_ptr frame;
        memory_budget::share_ptr share;
    };

    /// A body that is accounted for.
    struct held_body {
        mesh::body_ptr body;
        memory_budget::share_ptr share;
    };

    /// Accounts for the body of an answer until it is sent. Makes the answer a failure and returns
    /// no body when there is no room.
    mesh::body_ptr hold_answer(mesh_wire::mesh_frame& frame, const mesh::body_ptr& body)
    {
        auto share = owner_->budgets.answers->open();
        if (share->resize(body->size())) {
            const auto held = std::make_shared<held_body>(held_body{body, std::move(share)});
            return {held, held->body.get()};
        }
        ++owner_->counters.refused_bodies;
        frame.answer.__set_outcome(mesh_wire::run_outcome::failed);
        frame.answer.__set_reason(mesh::no_memory_reason);
        frame.answer.head.clear();
        return nullptr;
    }

    /// Takes the announcement of a body. Returns the failure of the call where an answer finds no
    /// room.
    mesh::frame_ptr add_split(const mesh_wire::mesh_frame& frame)
    {
        const auto& split = frame.split;
        auto share =
            (split.__isset.run ? owner_->budgets.requests : owner_->budgets.answers)->open();
        // A body that arrives whole is copied once.
        const auto bytes = static_cast<std::size_t>(std::max<std::int64_t>(split.length, 0)) * 2;
        if (share->resize(bytes)) {
            auto whole = bodies_.add(frame);
            shares_[split.body_id] = std::move(share);
            return whole;
        }
        refused_bodies_[split.body_id] = split.length;
        ++owner_->counters.refused_bodies;
        mesh_wire::run_answer failure;
        failure.__set_reason(mesh::no_memory_reason);
        failure.__set_wait_ms(static_cast<std::int32_t>(memory_budget::stall_limit.count()));
        mesh_wire::mesh_frame out;
        if (split.__isset.run) {
            failure.__set_call(split.run.call);
            failure.__set_outcome(mesh_wire::run_outcome::refused);
            out.__set_answer(failure);
            queue(shell::encode_frame(out));
            return nullptr;
        }
        failure.__set_call(split.answer.call);
        failure.__set_outcome(mesh_wire::run_outcome::failed);
        out.__set_answer(failure);
        return std::make_shared<const mesh_wire::mesh_frame>(std::move(out));
    }

    mesh::frame_ptr add_part(const mesh_wire::mesh_frame& frame)
    {
        const auto& part = frame.part;
        if (const auto refused = refused_bodies_.find(part.body_id);
            refused != refused_bodies_.end()) {
            refused->second -= static_cast<std::int64_t>(part.data.size());
            if (part.dropped || refused->second <= 0) {
                refused_bodies_.erase(refused);
            }
            return nullptr;
        }
        auto whole = bodies_.add(frame);
        if (!whole && !part.dropped) {
            return nullptr;
        }
        const auto share = shares_.extract(part.body_id);
        if (!whole || share.empty()) {
            return whole;
        }
        const auto held = std::make_shared<held_frame>(held_frame{whole, share.mapped()});
        return {held, held->frame.get()};
    }

    std::shared_ptr<implementation> owner_;
    mesh::link_id id_;
    tcp::socket socket_;
    shell::cancellable_timer timer_;
    std::optional<node_id> dialled_node_;
    mesh::body_assembler bodies_;
    /// Shares of the bodies that are being received.
    std::map<std::int64_t, memory_budget::share_ptr> shares_;
    /// Bytes to come of bodies that found no room.
    std::map<std::int64_t, std::int64_t> refused_bodies_;
    mesh::body_splitter parts_;
    std::string input_;
    std::string queued_;
    std::string sending_;
    bool writing_ = false;
    bool flush_posted_ = false;
    bool close_when_written_ = false;
    bool closed_ = false;
};

void peer_links::implementation::listen(const mesh::listen_address& address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
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
            const mesh::link_id id{++self->last_link_id};
            const auto connection = std::make_shared<link>(self, id, std::move(socket));
            self->links.emplace(id, connection);
            connection->open();
        }
        self->accept_next();
    });
}

peer_links::peer_links(asio::io_context& io, const mesh::listen_address& address,
                       event_handler on_event, body_budgets budgets)
    : impl_(std::make_shared<implementation>(io, std::move(on_event), std::move(budgets)))
{
    impl_->listen(address);
}

peer_links::~peer_links()
{
    close_all();
}

void peer_links::dial(const mesh_wire::node_record& peer)
{
    const mesh::link_id id{++impl_->last_link_id};
    const auto connection =
        std::make_shared<implementation::link>(impl_, id, tcp::socket(impl_->io));
    impl_->links.emplace(id, connection);
    connection->dial(peer);
}

void peer_links::send(const mesh::send_to_peer& message)
{
    const auto found = impl_->links.find(message.link);
    if (found == impl_->links.end()) {
        return;
    }
    try {
        found->second->send(message.frame, message.body);
    } catch (const shell::wire_error&) {
        ++impl_->counters.oversized_frames;
        close(message.link);
    }
}

void peer_links::close(mesh::link_id link)
{
    const auto found = impl_->links.find(link);
    if (found != impl_->links.end()) {
        asio::post(impl_->io, [connection = found->second] { connection->close(); });
    }
}

void peer_links::close_all()
{
    impl_->closed = true;
    error_code ignored;
    impl_->acceptor.close(ignored);
    impl_->on_event = [](const mesh::event&) {
    };
    const auto all = impl_->links;
    for (const auto& [id, connection] : all) {
        connection->close();
    }
}

std::size_t peer_links::queued_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, connection] : impl_->links) {
        total += connection->queued_bytes();
    }
    return total;
}

const peer_counters& peer_links::counters() const
{
    return impl_->counters;
}

} // namespace camphor::sidecar
