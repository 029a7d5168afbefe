#include <iostream>

int main()
{
    std::cout << "berylspringd " << BERYLSPRING_VERSION << '\n';
    return 0;
}
