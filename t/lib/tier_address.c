#include "t/lib/tier_address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

struct sockaddr_in
unique_loopback_address(void)
{
    enum { FIRST_PORT = 20000, PORTS = 10000 };
    static uint16_t used;
    uint32_t process = (uint32_t)getpid();
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)(FIRST_PORT + used++ % PORTS)),
        .sin_addr.s_addr = htonl(
            127U << 24 | (1 + process / 65536 % 200) << 16 | process % 65536),
    };
}

const char *
address_text(const struct sockaddr_in *address, char *text, size_t size)
{
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    snprintf(text, size, "%s:%u", host, ntohs(address->sin_port));
    return text;
}
