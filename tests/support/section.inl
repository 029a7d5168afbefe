#include <rapidcheck.h>

#include <sstream>

namespace berylspring::test {

namespace detail {
void failWith(const std::string &message);
}

template<typename Property>
void checkProperty(const std::string &title, Property &&property)
{
    const auto result = rc::detail::checkTestable(std::forward<Property>(property));
    if (!result.template is<rc::detail::SuccessResult>()) {
        std::ostringstream message;
        message << title << ": ";
        rc::detail::printResultMessage(result, message);
        detail::failWith(message.str());
    }
}

}
