#include "berylspring/admission/admission_service.h"

#include "admission/service_core.h"

#include <utility>

namespace berylspring::admission {

AdmissionService::AdmissionService(boost::asio::any_io_executor executor,
                                   AdmissionSettings settings,
                                   AdmissionHooks hooks,
                                   std::shared_ptr<AdmissionHistory> history)
    : m_core(std::make_shared<Core>(std::move(executor), settings, std::move(hooks), std::move(history)))
{
}

AdmissionService::~AdmissionService()
{
    m_core->abandonWaiting();
}

boost::asio::awaitable<wire::CallResponse> AdmissionService::run(wire::CallRequest request)
{
    return Core::run(m_core, std::move(request));
}

void AdmissionService::setSlots(std::uint32_t slots)
{
    m_core->setSlots(slots);
}

void AdmissionService::setCold(const ColdLimit &cold)
{
    m_core->setCold(cold);
}

void AdmissionService::startDrain()
{
    Core::startDrain(m_core);
}

void AdmissionService::retire()
{
    m_core->retire();
}

void AdmissionService::setEvacuated(bool isEvacuated)
{
    m_core->setEvacuated(isEvacuated);
}

boost::asio::awaitable<void> AdmissionService::idle()
{
    return Core::idle(m_core);
}

AdmissionState AdmissionService::state() const
{
    return m_core->state();
}

}
