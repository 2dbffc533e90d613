#include "commands/command_line.h"
#include "commands/startup_environment.h"

int main(int argc, char** argv)
{
    medlaryoke::commands::prepare_server_environment(argc, argv);
    return medlaryoke::commands::run_command_line(argc, argv);
}
