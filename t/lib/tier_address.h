/* Loopback addresses for the daemons and stand-ins of one test process. */
#ifndef T_LIB_TIER_ADDRESS_H
#define T_LIB_TIER_ADDRESS_H

#include <netinet/in.h>
#include <stddef.h>

/*
 * An IP and port that no other test process uses. The IP is derived from the
 * process id, so that outgoing connections of other tests cannot occupy a
 * port on it.
 */
struct sockaddr_in unique_loopback_address(void);

/* Write the address to text as "IP:PORT". Returns text. */
const char *address_text(const struct sockaddr_in *address, char *text,
                         size_t size);

#endif
