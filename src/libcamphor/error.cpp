// Messages of the library's errors.
#include <camphortally/error.h>

#include <utility>

namespace camphor {

namespace {

std::string describe(const std::vector<fault>& faults)
{
    std::string text;
    for (const auto& item : faults) {
        if (!text.empty()) {
            text += "; ";
        }
        text += (item.pointer.empty() ? "/" : item.pointer) + ": " + item.reason;
    }
    return text;
}

} // namespace

invalid_input::invalid_input(std::vector<fault> faults)
    : std::runtime_error(describe(faults)), faults_(std::move(faults))
{
}

invalid_input::invalid_input(std::string pointer, std::string reason)
    : invalid_input(std::vector<fault>{{std::move(pointer), std::move(reason)}})
{
}

} // namespace camphor
