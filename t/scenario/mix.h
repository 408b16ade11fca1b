/*
 * Generates a script with a random mix of faults. The same seed always gives
 * the same script.
 */
#ifndef T_SCENARIO_MIX_H
#define T_SCENARIO_MIX_H

#include "t/scenario/script.h"

/* Release the script with script_release. */
void mix_generate(uint64_t seed, script_t *script);

/* Print the steps in the script language, to reproduce a failed run. */
void mix_print(const script_t *script);

#endif
