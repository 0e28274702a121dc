/* Operators' requests on their way from updates to the flow set. */
#include "tagged/tagged.h"

#include <errno.h>

bool
tagged_is_request(const store_event_t *ev)
{
    return ev->kind == STORE_REQUEST || ev->kind == STORE_REQUEST_GONE;
}

static void
apply(flowset_t *f, const store_event_t *ev)
{
    const request_t *r = ev->request;
    int rc = flowset_set_request(f, r, ev->revision);
    ms_t left_ms = r->expires_ms - clock_wall();

    log_line(rc < 0 ? LVL_WARN : LVL_INFO, "requests",
             "%s. name=%s kind=%s service=%s author=\"%s\" expires_in_ms=%lld "
             "revision=%llu%s",
             rc < 0         ? "Not applied"
             : left_ms <= 0 ? "Expired before"
                            : "Applied",
             r->name, request_kind_name(r->kind), r->service, r->author,
             (long long)left_ms, (unsigned long long)ev->revision,
             rc == -ESTALE   ? " error=\"a later revision is applied\""
             : rc == -ENOSPC ? " error=\"too many requests\""
                             : "");
}

void
tagged_apply_request(flowset_t *f, const store_event_t *ev)
{
    if (ev->kind == STORE_REQUEST) {
        apply(f, ev);
        return;
    }
    log_line(LVL_INFO, "requests", "Ended. name=%s revision=%llu",
             ev->request_name, (unsigned long long)ev->revision);
    flowset_remove_request(f, ev->request_name);
}

void
tagged_log_expired_request(const request_t *r)
{
    log_line(LVL_INFO, "requests", "Expired. name=%s kind=%s service=%s",
             r->name, request_kind_name(r->kind), r->service);
}
