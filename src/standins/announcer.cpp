// Sends announcements over one persistent HTTP connection.
#include "announcer.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace camphor::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::chrono::milliseconds announce_period{500};
constexpr std::chrono::milliseconds announce_timeout{400};

} // namespace

/// Invariant: at most one announcement is in progress.
class announcer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, announce_settings settings, const backend_service& backend)
        : settings_(std::move(settings)), backend_(backend), stream_(io), timer_(io)
    {
    }

    void announce()
    {
        timer_.expires_after(announce_period);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->announce();
            }
        });
        if (in_progress_) {
            announce_again_ = true;
            return;
        }
        in_progress_ = true;
        stream_.expires_after(announce_timeout);
        if (stream_.socket().is_open()) {
            write();
        } else {
            connect();
        }
    }

    void stop()
    {
        timer_.cancel();
        stream_.close();
    }

private:
    void connect()
    {
        const asio::ip::tcp::endpoint node(asio::ip::make_address(settings_.node_host),
                                           settings_.node_admin_port);
        stream_.async_connect(node, [self = shared_from_this()](error_code error) {
            error ? self->on_finished(error) : self->write();
        });
    }

    void write()
    {
        request_ = {http::verb::post, "/v1/announce", 11};
        request_.set(http::field::host, settings_.node_host);
        request_.set(http::field::content_type, "application/json");
        request_.body() = announcement_json();
        request_.prepare_payload();
        http::async_write(stream_, request_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              error ? self->on_finished(error) : self->read();
                          });
    }

    void read()
    {
        response_ = {};
        http::async_read(stream_, buffer_, response_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             self->on_finished(error);
                         });
    }

    void on_finished(error_code error)
    {
        in_progress_ = false;
        if (error || !response_.keep_alive()) {
            stream_.close();
            buffer_.clear();
        }
        if (!error && std::exchange(announce_again_, false)) {
            announce();
        }
    }

    std::string announcement_json() const
    {
        const auto& backend = backend_.settings();
        const nlohmann::json document{
            {"backend", backend.name},        {"service", backend.service},
            {"release", backend.release},     {"host", settings_.backend_host},
            {"port", settings_.backend_port}, {"slots", backend.slots},
            {"state", backend_.state()},      {"in_flight", backend_.reported_in_flight()}};
        return document.dump();
    }

    announce_settings settings_;
    const backend_service& backend_;
    beast::tcp_stream stream_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
    bool in_progress_ = false;
    /// announce() was called while an announcement was in progress; send another one afterwards.
    bool announce_again_ = false;
};

announcer::announcer(asio::io_context& io, announce_settings settings,
                     const backend_service& backend)
    : impl_(std::make_shared<implementation>(io, std::move(settings), backend))
{
}

announcer::~announcer()
{
    impl_->stop();
}

void announcer::announce_now()
{
    impl_->announce();
}

} // namespace camphor::standin
