#include <csignal>

#include "commands/command_line.h"

int main(int argc, char** argv)
{
    // A reload may be asked for before the settings are read and a handler stands; it must not end
    // the process. The settings that are read then are the new ones.
    std::signal(SIGHUP, SIG_IGN);
    return medlaryoke::commands::run_command_line(argc, argv);
}
