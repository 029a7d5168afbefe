#pragma once

#include "berylspring/admission/admission_service.h"
#include "berylspring/wire/messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::test {

/** @brief A request on the fake endpoint; it runs until the test finishes it. */
struct RunningCall
{
    wire::CallRequest request;
    boost::asio::steady_timer timer;
    admission::EndpointResult result;
    bool isOver = false;
};

/** @brief A request that a test has sent through the service. */
struct SentCall
{
    boost::asio::cancellation_signal cancellation;
    std::optional<wire::CallResponse> response;
};

inline wire::CallRequest callNamed(const std::string &name, core::PriorityLevel priority = 0)
{
    wire::CallRequestFields fields;
    fields.method = "GET";
    fields.target = "/" + name;
    fields.workspace = core::WorkspaceId("garden");
    fields.priority = priority;
    // Longer than any test run, so that results do not depend on real timers.
    fields.remaining = std::chrono::hours(1);
    return wire::CallRequest(std::move(fields));
}

inline admission::AdmissionSettings settingsWithoutRealTimers()
{
    admission::AdmissionSettings settings;
    settings.targetWait = std::chrono::hours(1);
    return settings;
}

/** @brief The admission service on one thread, with a clock and a fake endpoint that the test controls. */
class Harness
{
public:
    explicit Harness(admission::AdmissionSettings settings = settingsWithoutRealTimers())
        : m_settings(settings)
        , m_history(std::make_shared<admission::AdmissionHistory>(settings))
    {
        startEndpoint();
    }
    ~Harness()
    {
        m_service->setSlots(0);
        for (auto &call : m_running) {
            call->timer.cancel();
        }
        poll();
    }
    Harness(const Harness &) = delete;
    Harness &operator=(const Harness &) = delete;

    /** @brief Replaces the service, as a node does for each endpoint that starts. */
    void startEndpoint()
    {
        m_service = std::make_unique<admission::AdmissionService>(m_io.get_executor(), m_settings, hooks(), m_history);
    }
    [[nodiscard]] admission::Quarantine &quarantine()
    {
        return m_history->quarantine;
    }
    [[nodiscard]] core::TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] admission::AdmissionService &service()
    {
        return *m_service;
    }
    std::shared_ptr<SentCall> send(const wire::CallRequest &request)
    {
        auto sent = std::make_shared<SentCall>();
        boost::asio::co_spawn(m_io,
                              sendOne(m_service.get(), sent, request),
                              boost::asio::bind_cancellation_slot(sent->cancellation.slot(), boost::asio::detached));
        poll();
        return sent;
    }
    void cancel(const std::shared_ptr<SentCall> &sent)
    {
        sent->cancellation.emit(boost::asio::cancellation_type::terminal);
        poll();
    }
    /** @brief Ends the oldest running request whose target is "/" and the name. */
    void finish(const std::string &name, admission::EndpointResult result = answered())
    {
        for (auto &call : m_running) {
            if (!call->isOver && call->request->target == "/" + name) {
                call->isOver = true;
                call->result = std::move(result);
                call->timer.cancel();
                break;
            }
        }
        poll();
    }
    /** @return Targets, without the slash, of the requests on the endpoint, in the order in which they started. */
    [[nodiscard]] std::vector<std::string> running() const
    {
        std::vector<std::string> names;
        for (const auto &call : m_running) {
            if (!call->isOver) {
                names.push_back(call->request->target.substr(1));
            }
        }
        return names;
    }
    void advance(core::Duration duration)
    {
        m_now += duration;
    }
    void poll()
    {
        m_io.restart();
        m_io.poll();
    }
    [[nodiscard]] boost::asio::io_context &io()
    {
        return m_io;
    }

    static admission::EndpointResult answered()
    {
        wire::CallResponseFields fields;
        fields.status = 200;
        admission::EndpointResult result;
        result.response = wire::CallResponse(std::move(fields));
        return result;
    }
    static admission::EndpointResult lost(bool maybeSent = true)
    {
        admission::EndpointResult result;
        result.connectionLost = true;
        result.maybeSent = maybeSent;
        return result;
    }

    std::set<core::Digest> withdrawnKeys;
    std::vector<wire::QuarantineNotice> notices;

private:
    static boost::asio::awaitable<void>
    sendOne(admission::AdmissionService *service, std::shared_ptr<SentCall> sent, wire::CallRequest request)
    {
        sent->response = co_await service->run(std::move(request));
    }
    static boost::asio::awaitable<admission::EndpointResult> runOnEndpoint(Harness *self, wire::CallRequest request)
    {
        auto executor = co_await boost::asio::this_coro::executor;
        auto call = std::make_shared<RunningCall>(RunningCall{request, boost::asio::steady_timer(executor), {}, false});
        call->timer.expires_after(std::chrono::hours(1));
        self->m_running.push_back(call);
        try {
            co_await call->timer.async_wait(boost::asio::use_awaitable);
        } catch (const boost::system::system_error &) {
            if (!call->isOver) {
                call->isOver = true;
                throw;
            }
        }
        co_return call->result;
    }
    admission::AdmissionHooks hooks()
    {
        admission::AdmissionHooks hooks;
        hooks.endpointCall = [this](wire::CallRequest request) { return runOnEndpoint(this, std::move(request)); };
        hooks.now = [this] { return m_now; };
        hooks.random = [this] { return m_random(); };
        hooks.isKeyWithdrawn = [this](const core::Digest &digest) { return withdrawnKeys.contains(digest); };
        hooks.weightOf = [](const core::WorkspaceId &) { return 1.0; };
        hooks.crashed = [this](const admission::CrashReport &report) {
            if (report->state == admission::QuarantineState::Quarantined) {
                notices.push_back(
                    wire::QuarantineNotice({.requestDigest = report->requestDigest, .remaining = report->remaining}));
            }
        };
        return hooks;
    }

    admission::AdmissionSettings m_settings;
    std::shared_ptr<admission::AdmissionHistory> m_history;
    core::TimePoint m_now{std::chrono::hours(1000)};
    std::mt19937_64 m_random{1};
    boost::asio::io_context m_io{1};
    std::deque<std::shared_ptr<RunningCall>> m_running;
    std::unique_ptr<admission::AdmissionService> m_service;
};

}
