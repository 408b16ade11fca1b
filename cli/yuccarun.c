#include "cli/cli.h"

int
main(int argc, char **argv)
{
    return (int)cli_main(argc, argv, stdout, stderr);
}
