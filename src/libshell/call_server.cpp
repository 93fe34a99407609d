// Listener, sessions and deadlines of the callers' side.
#include "libshell/call_server.h"

#include "libshell/call_session.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphor::shell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds idle_check_period{500};
constexpr std::size_t idle_upstream_connections = 128;
constexpr std::chrono::seconds idle_upstream_time{30};

} // namespace

class call_server::impl : public session_host, public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, call_server_settings settings, event_sink& sink)
        : io_(io), settings_(std::move(settings)), sink_(sink), via_("1.1 " + settings_.node),
          pool_(idle_upstream_connections), acceptor_(io), idle_timer_(io), deadline_timer_(io)
    {
    }

    void start()
    {
        const tcp::endpoint endpoint(asio::ip::make_address(settings_.host), settings_.call_port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        accept();
        check_idle();
    }

    template <class Order>
    void perform(const Order& order)
    {
        const auto found = calls_.find(order.call);
        if (found == calls_.end()) {
            return;
        }
        const auto session = found->second->shared_from_this();
        session->perform(order);
    }

    void perform(const forward_call& order)
    {
        const auto found = calls_.find(order.call);
        if (found == calls_.end()) {
            sink_.post(
                call_event{attempt_failed{order.call, order.attempt, attempt_failure::not_sent}});
            return;
        }
        const auto session = found->second->shared_from_this();
        session->perform(order);
    }

    void stop_accepting()
    {
        stopping_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        for (const auto& session : sessions()) {
            session->stop();
        }
    }

    void shut_down()
    {
        stop_accepting();
        idle_timer_.cancel();
        deadline_timer_.cancel();
        for (const auto& session : sessions()) {
            session->close();
        }
        pool_.clear();
    }

    std::size_t open_calls() const { return calls_.size(); }
    std::uint16_t port() const { return port_; }

    const call_server_settings& settings() const override { return settings_; }
    const std::string& via() const override { return via_; }
    event_sink& sink() override { return sink_; }
    upstream_pool& pool() override { return pool_; }
    asio::io_context& io() override { return io_; }
    bool is_stopping() const override { return stopping_; }

    call_id add_call(call_session& session) override
    {
        const call_id call{++last_call_};
        calls_.emplace(call, &session);
        return call;
    }

    void remove_call(const call_id& call) override
    {
        calls_.erase(call);
        const auto found = call_deadlines_.find(call);
        if (found != call_deadlines_.end()) {
            deadlines_.erase(found->second);
            call_deadlines_.erase(found);
        }
    }

    void add_deadline(const call_id& call, std::int32_t attempt, time_point deadline) override
    {
        const std::chrono::steady_clock::time_point due(deadline.time_since_epoch());
        const auto old = call_deadlines_.find(call);
        if (old != call_deadlines_.end()) {
            deadlines_.erase(old->second);
        }
        call_deadlines_[call] = deadlines_.emplace(due, attempt_of{call, attempt});
        arm_deadlines();
    }

    void remove_session(call_session& session) override
    {
        // Later: the session is still running.
        const auto found = sessions_.find(&session);
        if (found != sessions_.end()) {
            asio::post(io_, [kept = found->second] {});
            sessions_.erase(found);
        }
    }

private:
    struct attempt_of {
        call_id call;
        std::int32_t attempt = 0;
    };
    using deadline_map = std::multimap<std::chrono::steady_clock::time_point, attempt_of>;

    std::vector<std::shared_ptr<call_session>> sessions() const
    {
        std::vector<std::shared_ptr<call_session>> out;
        out.reserve(sessions_.size());
        for (const auto& [address, session] : sessions_) {
            out.push_back(session);
        }
        return out;
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !self->acceptor_.is_open()) {
                return;
            }
            if (!error) {
                self->open_session(std::move(socket));
            }
            self->accept();
        });
    }

    void open_session(tcp::socket socket)
    {
        error_code error;
        const auto remote = socket.remote_endpoint(error);
        if (error || sessions_.size() >= settings_.connections) {
            return;
        }
        auto session =
            std::make_shared<call_session>(*this, std::move(socket), remote.address().to_string());
        sessions_.emplace(session.get(), session);
        session->start();
    }

    void check_idle()
    {
        idle_timer_.expires_after(idle_check_period);
        idle_timer_.async_wait([self = shared_from_this()](error_code error) {
            if (error) {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            for (const auto& session : self->sessions()) {
                session->check_idle(now);
            }
            self->pool_.trim(idle_upstream_time);
            self->check_idle();
        });
    }

    /// A timer that is armed for an earlier time is left alone: most deadlines are gone before.
    void arm_deadlines()
    {
        if (deadlines_.empty()) {
            return;
        }
        const auto first = deadlines_.begin()->first;
        if (armed_for_ && *armed_for_ <= first) {
            return;
        }
        armed_for_ = first;
        deadline_timer_.expires_at(first);
        deadline_timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->on_deadlines();
            }
        });
    }

    void on_deadlines()
    {
        armed_for_.reset();
        const auto now = std::chrono::steady_clock::now();
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            const auto due = deadlines_.begin()->second;
            deadlines_.erase(deadlines_.begin());
            call_deadlines_.erase(due.call);
            const auto found = calls_.find(due.call);
            if (found != calls_.end()) {
                const auto session = found->second->shared_from_this();
                session->on_deadline(due.attempt);
            }
        }
        arm_deadlines();
    }

    asio::io_context& io_;
    call_server_settings settings_;
    event_sink& sink_;
    std::string via_;
    upstream_pool pool_;
    tcp::acceptor acceptor_;
    asio::steady_timer idle_timer_;
    asio::steady_timer deadline_timer_;
    std::optional<std::chrono::steady_clock::time_point> armed_for_;
    deadline_map deadlines_;
    std::unordered_map<call_id, deadline_map::iterator> call_deadlines_;
    std::unordered_map<call_id, call_session*> calls_;
    std::unordered_map<call_session*, std::shared_ptr<call_session>> sessions_;
    std::uint64_t last_call_ = 0;
    std::uint16_t port_ = 0;
    bool stopping_ = false;
};

call_server::call_server(asio::io_context& io, call_server_settings settings, event_sink& sink)
    : impl_(std::make_shared<impl>(io, std::move(settings), sink))
{
}

call_server::~call_server()
{
    impl_->shut_down();
}

void call_server::start()
{
    impl_->start();
}

void call_server::perform(const call_effect& effect)
{
    std::visit([this](const auto& order) { impl_->perform(order); }, effect);
}

void call_server::stop_accepting()
{
    impl_->stop_accepting();
}

void call_server::shut_down()
{
    impl_->shut_down();
}

std::size_t call_server::open_calls() const
{
    return impl_->open_calls();
}

std::uint16_t call_server::port() const
{
    return impl_->port();
}

} // namespace camphor::shell
