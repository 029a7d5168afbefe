#include "berylspring/ctl/commands.h"
#include "berylspring/ctl/options.h"

#include <exception>
#include <iostream>
#include <string>
#include <vector>

using namespace berylspring;

int main(int argc, char **argv)
{
    try {
        const auto options = ctl::parseOptions(std::vector<std::string>(argv + 1, argv + argc));
        if (!options) {
            std::cerr << options.error();
            return static_cast<int>(ctl::ExitCode::Usage);
        }
        return static_cast<int>(ctl::runCommand(*options, std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "berylspringctl: " << error.what() << '\n';
        return static_cast<int>(ctl::ExitCode::Unavailable);
    }
}
