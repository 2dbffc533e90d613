#include "commands/command_line.h"
#include "commands/startup_signals.h"

int main(int argc, char** argv)
{
    medlaryoke::commands::hold_startup_signals(argc, argv);
    return medlaryoke::commands::run_command_line(argc, argv);
}
