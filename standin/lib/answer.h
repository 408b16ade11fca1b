/*
 * Computes the answers of the stand-in upstreams, so that a caller can verify
 * a merged answer. Count and sum are additive over adjacent ranges and depend
 * on the index version.
 *
 *     sum(lo, hi) == sum(lo, mid) + sum(mid, hi), modulo 2^64
 */
#ifndef STANDIN_LIB_ANSWER_H
#define STANDIN_LIB_ANSWER_H

#include "core/range.h"

#include <stdint.h>

/* Number of records of the range in an index version. */
uint64_t answer_count(key_range_t range, uint64_t version);

/* Sum over the records of the range in an index version, modulo 2^64. */
uint64_t answer_sum(key_range_t range, uint64_t version);

#endif
