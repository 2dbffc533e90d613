#include "controllers/agent_link.h"

#include <mutex>
#include <utility>

#include "controllers/agent_session.h"
#include "transport/message_channel.h"

namespace medlaryoke::controllers {

/// Runs an agent_session over a message_client and calls its tick by a timer.
class agent_link::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, const clock_source& clock,
                   agent_link_options options, agent_link_events events)
        : context_(context), address_(options.address),
          session_(std::make_shared<agent_session>(
              clock, std::move(options), std::move(events),
              agent_session_ports{
                  .send = [this](wire::frame frame) { return this->send(std::move(frame)); },
                  .reconnect = [this] { this->client_->reconnect(); },
                  .post = [this](std::function<void()> fn) { this->context_.post(std::move(fn)); },
              }))
    {
    }

    void start()
    {
        const auto self = this->weak_from_this();
        this->client_ = std::make_unique<transport::message_client>(
            this->context_,
            transport::message_client_options{.address = this->address_,
                                              .silence_limit = silence_limit},
            transport::message_client_events{
                .on_frame =
                    [self](const wire::frame& frame) {
                        if (const auto link = self.lock()) {
                            link->session_->on_frame(frame);
                        }
                    },
                .on_silent =
                    [self] {
                        if (const auto link = self.lock()) {
                            link->session_->on_silent();
                        }
                    },
            });
        this->session_->start();
        this->schedule_tick();
    }

    void stop()
    {
        const std::scoped_lock lock(this->timer_mutex_);
        this->stopped_ = true;
        this->timer_.cancel();
        this->session_->close();
    }

    [[nodiscard]] agent_session& session() const { return *this->session_; }

private:
    bool send(wire::frame frame) { return this->client_->send(std::move(frame)); }

    void schedule_tick()
    {
        const std::scoped_lock lock(this->timer_mutex_);
        if (this->stopped_) {
            return;
        }
        this->timer_ = this->context_.after(heartbeat_interval, [self = this->weak_from_this()] {
            if (const auto link = self.lock()) {
                link->session_->tick();
                link->schedule_tick();
            }
        });
    }

    transport::runtime& context_;
    const std::string address_;
    std::unique_ptr<transport::message_client> client_;
    std::shared_ptr<agent_session> session_;
    std::mutex timer_mutex_;
    bool stopped_ = false;
    transport::timer_handle timer_;
};

agent_link::agent_link(transport::runtime& context, const clock_source& clock,
                       agent_link_options options, agent_link_events events)
    : impl_(std::make_shared<implementation>(context, clock, std::move(options), std::move(events)))
{
    this->impl_->start();
}

agent_link::~agent_link()
{
    this->impl_->stop();
}

std::uint64_t agent_link::dispatch(wire::dispatch request, time_point deadline,
                                   dispatch_events events)
{
    return this->impl_->session().dispatch(std::move(request), deadline, std::move(events));
}

void agent_link::cancel(std::uint64_t dispatch_id)
{
    this->impl_->session().cancel(dispatch_id);
}

void agent_link::send_config(wire::frame frame)
{
    this->impl_->session().send_config(std::move(frame));
}

agent_link_view agent_link::view() const
{
    return this->impl_->session().view();
}

std::size_t agent_link::in_flight() const
{
    return this->impl_->session().in_flight();
}

} // namespace medlaryoke::controllers
