#include "t/lib/fake_vmlist.h"

#include <string.h>

static status_t
fake_fetch(void *handle, upstream_info_t **upstreams, size_t *count,
           error_t *err)
{
    fake_vmlist_t *fake = handle;
    fake->calls++;
    if (fake->text == NULL) {
        return error_set(err, fake->status, "VM list get", "fake",
                         "failure requested by the test");
    }
    return vmlist_parse(fake->text, strlen(fake->text), upstreams, count, err);
}

static void
fake_release(void *handle)
{
    (void)handle;
}

static const vmlist_ops_t fake_ops = {
    .fetch = fake_fetch,
    .release = fake_release,
};

vmlist_client_t
fake_vmlist_client(fake_vmlist_t *fake)
{
    return (vmlist_client_t){.ops = &fake_ops, .handle = fake};
}
