#include "berylspring/core/request_digest.h"

#include <array>
#include <string>

namespace berylspring::core {

Digest
requestDigest(std::string_view method, std::string_view target, std::string_view body, const WorkspaceId &workspace)
{
    const std::array<std::string_view, 4> parts{method, target, body, workspace.value()};
    std::string input;
    for (const auto part : parts) {
        input += std::to_string(part.size());
        input += ':';
        input += part;
    }
    return sha256(input);
}

}
