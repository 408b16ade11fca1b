#include "core/name.h"
#include "core/topology.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char parse_step[] = "parse VM list";

enum {
    VMLIST_TEXT_MAX = 8000000, /* bytes */
    VMLIST_VMS_MAX = 32768,
    GROUP_MAX = 65535,
    PORT_MAX = 65535
};

/* The VM that is being parsed. */
typedef struct {
    const json_t *object;
    size_t number; /* position in the list, from 1 */
    error_t *err;
} vm_reader_t;

static status_t
vm_error(const vm_reader_t *vm, const char *key, const char *expected)
{
    char shown[NAME_SIZE] = "?";
    const char *name = json_string_value(json_object_get(vm->object, "name"));
    if (name != NULL) {
        printable_copy(shown, sizeof(shown), name);
    }
    char peer[ERROR_PEER_MAX];
    snprintf(peer, sizeof(peer), "VM %zu (%s)", vm->number, shown);
    return error_set(vm->err, STATUS_INVALID, parse_step, peer,
                     "%s is missing or invalid, expected %s", key, expected);
}

static const char *
vm_text(const vm_reader_t *vm, const char *key)
{
    const char *text = json_string_value(json_object_get(vm->object, key));
    return text != NULL ? text : "";
}

static status_t
vm_name_read(const vm_reader_t *vm, const char *key, char out[NAME_SIZE])
{
    const char *text = vm_text(vm, key);
    if (!name_valid(text)) {
        return vm_error(vm, key, NAME_ALLOWED);
    }
    memcpy(out, text, strlen(text) + 1);
    return STATUS_OK;
}

static status_t
vm_address_read(const vm_reader_t *vm, char out[ADDRESS_SIZE])
{
    struct in6_addr parsed;
    const char *text = vm_text(vm, "address");
    if (strlen(text) >= ADDRESS_SIZE ||
        (inet_pton(AF_INET, text, &parsed) != 1 &&
         inet_pton(AF_INET6, text, &parsed) != 1)) {
        return vm_error(vm, "address", "an IP address");
    }
    memcpy(out, text, strlen(text) + 1);
    return STATUS_OK;
}

static status_t
vm_number_read(const vm_reader_t *vm, const char *key, json_int_t min,
               json_int_t max, uint16_t *out)
{
    const json_t *value = json_object_get(vm->object, key);
    json_int_t found = json_integer_value(value);
    if (!json_is_integer(value) || found < min || found > max) {
        return vm_error(vm, key, "a whole number up to 65535");
    }
    *out = (uint16_t)found;
    return STATUS_OK;
}

static status_t
vm_state_read(const vm_reader_t *vm, bool *leaving)
{
    const char *state = vm_text(vm, "state");
    *leaving = strcmp(state, "leaving") == 0;
    if (!*leaving && strcmp(state, "live") != 0) {
        return vm_error(vm, "state", "live or leaving");
    }
    return STATUS_OK;
}

static status_t
upstream_read(const vm_reader_t *vm, upstream_info_t *upstream)
{
    status_t status = vm_name_read(vm, "name", upstream->name);
    if (status == STATUS_OK) {
        status = vm_name_read(vm, "service", upstream->service);
    }
    if (status == STATUS_OK) {
        status = vm_name_read(vm, "zone", upstream->zone);
    }
    if (status == STATUS_OK) {
        status = vm_address_read(vm, upstream->address);
    }
    if (status == STATUS_OK) {
        status = vm_number_read(vm, "port", 1, PORT_MAX, &upstream->port);
    }
    if (status == STATUS_OK) {
        status = vm_number_read(vm, "group", 0, GROUP_MAX, &upstream->group);
    }
    if (status == STATUS_OK) {
        status = vm_state_read(vm, &upstream->leaving);
    }
    return status;
}

/* Parses the upstreams of an array of VMs into out, which has room for all. */
static status_t
vms_read(const json_t *vms, upstream_info_t *out, size_t *count, error_t *err)
{
    for (size_t i = 0; i < json_array_size(vms); i++) {
        vm_reader_t vm = {
            .object = json_array_get(vms, i),
            .number = i + 1,
            .err = err,
        };
        const char *role = vm_text(&vm, "role");
        if (strcmp(role, "entry") == 0) {
            continue;
        }
        if (strcmp(role, "upstream") != 0) {
            return vm_error(&vm, "role", "upstream or entry");
        }
        status_t status = upstream_read(&vm, &out[*count]);
        if (status != STATUS_OK) {
            return status;
        }
        (*count)++;
    }
    if (*count > UPSTREAMS_MAX) {
        return error_set(err, STATUS_TOO_LARGE, parse_step, "VM list",
                         "found %zu upstreams, the maximum is %d", *count,
                         UPSTREAMS_MAX);
    }
    return STATUS_OK;
}

static status_t
document_read(const json_t *document, upstream_info_t **upstreams,
              size_t *count, error_t *err)
{
    const json_t *vms = json_object_get(document, "vms");
    size_t size = json_array_size(vms);
    if (!json_is_array(vms) || size > VMLIST_VMS_MAX) {
        return error_set(err, STATUS_INVALID, parse_step, "VM list",
                         "vms must be a list of at most %d VMs",
                         VMLIST_VMS_MAX);
    }
    upstream_info_t *read = calloc(size + 1, sizeof(*read));
    if (read == NULL) {
        return error_set(err, STATUS_NO_MEMORY, parse_step, "VM list",
                         "out of memory");
    }
    size_t found = 0;
    status_t status = vms_read(vms, read, &found, err);
    if (status != STATUS_OK) {
        free(read);
        return status;
    }
    *upstreams = read;
    *count = found;
    return STATUS_OK;
}

status_t
vmlist_parse(const char *text, size_t size, upstream_info_t **upstreams,
             size_t *count, error_t *err)
{
    *upstreams = NULL;
    *count = 0;
    if (size > VMLIST_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, parse_step, "VM list",
                         "found %zu bytes, the maximum is %d", size,
                         VMLIST_TEXT_MAX);
    }
    json_error_t problem;
    json_t *document =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &problem);
    if (document == NULL) {
        return error_set(err, STATUS_INVALID, parse_step, "VM list",
                         "line %d: invalid JSON or a duplicate key",
                         problem.line);
    }
    status_t status = document_read(document, upstreams, count, err);
    json_decref(document);
    return status;
}
