/* Addresses on loopback for daemons and stand-ins of one test process. */
#ifndef T_LIB_TIER_ADDRESS_H
#define T_LIB_TIER_ADDRESS_H

#include <netinet/in.h>
#include <stddef.h>

/*
 * An address of this process alone: loopback has many, and no connection of
 * another test takes a port of this one for its own end.
 */
struct sockaddr_in unique_loopback_address(void);

/* "IP:PORT", in text. */
const char *address_text(const struct sockaddr_in *address, char *text,
                         size_t size);

#endif
