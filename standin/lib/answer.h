/*
 * The answers that every stand-in upstream gives, so that a merged answer can
 * be verified by whoever asked: both are additive over adjacent ranges, and
 * both depend on the index version.
 *
 *     sum(lo, hi) == sum(lo, mid) + sum(mid, hi), modulo 2^64
 */
#ifndef STANDIN_LIB_ANSWER_H
#define STANDIN_LIB_ANSWER_H

#include "core/range.h"

#include <stdint.h>

/* Records of the range in an index version. */
uint64_t answer_count(key_range_t range, uint64_t version);

/* Sum over the records of the range in an index version. */
uint64_t answer_sum(key_range_t range, uint64_t version);

#endif
