#include "commands/command_line.h"

int main(int argc, char** argv)
{
    return medlaryoke::commands::run_command_line(argc, argv);
}
