#include <csignal>

#include "commands/command_line.h"

int main(int argc, char** argv)
{
    // SIGHUP requests a reload. It may arrive before its handler is installed and must not end the
    // process then; ignoring it is correct, because the settings read afterwards are the new ones.
    std::signal(SIGHUP, SIG_IGN);
    return medlaryoke::commands::run_command_line(argc, argv);
}
