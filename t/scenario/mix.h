/*
 * A random mix of faults, as a script made from a seed: the same seed always
 * gives the same script.
 */
#ifndef T_SCENARIO_MIX_H
#define T_SCENARIO_MIX_H

#include "t/scenario/script.h"

void mix_generate(uint64_t seed, script_t *script);

/* The script as it would be written, to follow a run that failed. */
void mix_print(const script_t *script);

#endif
