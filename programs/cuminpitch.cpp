#include "cuminpitch/cli/run.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return cuminpitch::cli::run(argc, argv, std::cout, std::cerr);
}
