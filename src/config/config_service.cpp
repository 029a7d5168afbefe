#include "berylspring/config/config_service.h"

#include "config/service_core.h"

#include <utility>

namespace berylspring::config {

namespace asio = boost::asio;

ConfigService::ConfigService(asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks)
    : m_core(std::make_shared<detail::ServiceCore>(std::move(executor), std::move(settings), std::move(hooks)))
{
}

ConfigService::~ConfigService()
{
    stop();
}

void ConfigService::start()
{
    detail::ServiceCore::start(m_core);
}

void ConfigService::stop()
{
    m_core->stop();
}

std::shared_ptr<const Catalogue> ConfigService::catalogue() const
{
    return m_core->context()->store().catalogue();
}

bool ConfigService::isReady() const
{
    return m_core->context()->isReady();
}

asio::awaitable<Result<WriteOutcome>>
ConfigService::put(ResourceType type, std::string name, std::string json, std::optional<core::Offset> expectedVersion)
{
    return detail::ServiceCore::put(m_core, type, std::move(name), std::move(json), expectedVersion);
}

asio::awaitable<Result<WriteOutcome>>
ConfigService::remove(ResourceType type, std::string name, std::optional<core::Offset> expectedVersion)
{
    return detail::ServiceCore::remove(m_core, type, std::move(name), expectedVersion);
}

asio::awaitable<void> ConfigService::pullFrom(core::HostId peer, core::Offset offset)
{
    return detail::PeerSync::pull(m_core->peerSync(), std::move(peer), offset);
}

asio::awaitable<wire::Message> ConfigService::handle(core::HostId from, wire::Message message)
{
    return detail::ServiceCore::handle(m_core, std::move(from), std::move(message));
}

std::optional<core::TimePoint> ConfigService::provenAt() const
{
    return m_core->context()->provenAt();
}

std::optional<core::TimePoint> ConfigService::lastLogContact() const
{
    return m_core->context()->lastLogContact();
}

std::uint64_t ConfigService::logGeneration() const
{
    return m_core->context()->logGeneration();
}

bool ConfigService::isLogBehind() const
{
    return m_core->follower()->lacksRecords();
}

bool ConfigService::isKeyWithdrawn(const core::Digest &digest) const
{
    return m_core->withdrawals()->contains(digest) || catalogue()->isWithdrawn(digest);
}

}
