// Reads and writes of one connection.
#include "libshell/http_channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace camphor::shell {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t read_bytes = 8'192;

} // namespace

http_channel::http_channel(asio::ip::tcp::socket socket, std::size_t input_limit)
    : socket_(std::move(socket)), input_limit_(input_limit)
{
}

void http_channel::configure()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    note_progress();
}

void http_channel::read()
{
    if (reading_ || !socket_.is_open() || is_full()) {
        return;
    }
    reading_ = true;
    const auto room = std::min(read_bytes, input_limit_ - input_.size());
    socket_.async_read_some(input_.prepare(room),
                            [self = shared_from_this()](error_code error, std::size_t received) {
                                self->reading_ = false;
                                self->input_.commit(received);
                                self->note_progress();
                                if (self->owner_ != nullptr) {
                                    self->owner_->on_read(*self, error);
                                }
                            });
}

http_channel::flush_result http_channel::flush()
{
    error_code error;
    const auto sent = socket_.write_some(asio::buffer(output_), error);
    sent_bytes_ += sent;
    note_progress();
    if (sent == output_.size()) {
        output_.clear();
        return flush_result::done;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        return flush_result::failed;
    }
    output_sent_ = sent;
    continue_flush();
    return flush_result::pending;
}

void http_channel::continue_flush()
{
    flushing_ = true;
    const auto rest = asio::buffer(output_) + output_sent_;
    asio::async_write(socket_, rest,
                      [self = shared_from_this()](error_code error, std::size_t sent) {
                          self->flushing_ = false;
                          self->sent_bytes_ += sent;
                          self->output_.clear();
                          self->note_progress();
                          if (self->owner_ != nullptr) {
                              self->owner_->on_flushed(*self, error);
                          }
                      });
}

void http_channel::close()
{
    error_code ignored;
    socket_.close(ignored);
}

void http_channel::reset()
{
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void http_channel::shutdown_send()
{
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace camphor::shell
