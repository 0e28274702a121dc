/* Metrics and status of a tagged instance. */
#include "tagged/tagged.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static void
histogram(FILE *f, const char *name, const hist_t *h)
{
    fprintf(f, "# TYPE %s histogram\n", name);
    hist_print(f, name, "", h);
}

static const char *const probe_names[PROBE_RESULTS] = {
    [PROBE_ANSWERED] = "answered", [PROBE_REFUSED] = "refused",
    [PROBE_RESET] = "reset",       [PROBE_TIMED_OUT] = "silent",
    [PROBE_NOT_SENT] = "not-made",
};

static void
priority_metrics(FILE *f, const flow_stats_t *s)
{
    char label[24];

    fprintf(f, "# TYPE siskin_flows_refused_total counter\n");
    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        fprintf(f, "siskin_flows_refused_total{priority=\"%d\"} %llu\n", i,
                (unsigned long long)s->refused_by_priority[i]);
    }
    fprintf(f, "# TYPE siskin_answer_by_priority_milliseconds histogram\n");
    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        snprintf(label, sizeof(label), "priority=\"%d\"", i);
        hist_print(f, "siskin_answer_by_priority_milliseconds", label,
                   &s->answer_by_priority[i]);
    }
}

static void
flow_metrics(FILE *f, const flow_stats_t *s)
{
    metric_print(f, "gauge", "siskin_version", s->version);
    metric_print(f, "gauge", "siskin_routes", s->routes);
    metric_print(f, "gauge", "siskin_upstreams", s->upstreams);
    metric_print(f, "gauge", "siskin_upstreams_usable", s->usable);
    metric_print(f, "gauge", "siskin_data_centres_evacuated", s->evacuated);
    metric_print(f, "gauge", "siskin_requests_in_force", s->requests);
    metric_print(f, "gauge", "siskin_flows", s->records);
    metric_print(f, "gauge", "siskin_limits_in_force", s->limits);
    metric_print(f, "gauge", "siskin_services_shared", s->sharing);
    metric_print(f, "gauge", "siskin_services_admitting", s->admitting);
    metric_print(f, "gauge", "siskin_upstreams_outliers", s->outliers);
    metric_print(f, "gauge", "siskin_data_centres_cut_off", s->cut_off);
    metric_print(f, "counter", "siskin_flows_spilled_total", s->spilled);
    metric_print(f, "counter", "siskin_flows_reset_total", s->resets);
    metric_print(f, "counter", "siskin_flows_forgotten_total",
                 s->records_evicted);
    fprintf(f, "# TYPE siskin_packets_total counter\n");
    for (int i = 0; i < FLOW_REASONS; i++) {
        fprintf(f, "siskin_packets_total{reason=\"%s\"} %llu\n",
                flow_reason_name((flow_reason_t)i),
                (unsigned long long)s->packets[i]);
    }
    fprintf(f, "# TYPE siskin_probes_total counter\n");
    for (int i = 0; i < PROBE_RESULTS; i++) {
        fprintf(f, "siskin_probes_total{result=\"%s\"} %llu\n", probe_names[i],
                (unsigned long long)s->probes[i]);
    }
    histogram(f, "siskin_answer_milliseconds", &s->answer_ms);
    histogram(f, "siskin_open_milliseconds", &s->open_ms);
    priority_metrics(f, s);
}

static flow_stats_t
copy_stats(tagged_t *t)
{
    flow_stats_t s;

    pthread_mutex_lock(&t->stats_lock);
    s = t->stats;
    pthread_mutex_unlock(&t->stats_lock);
    return s;
}

static void
replica_metrics(FILE *f, const tagged_t *t)
{
    ms_t now = clock_now();

    fprintf(f, "# TYPE siskin_store_revision gauge\n");
    for (int i = 0; i < TOPICS; i++) {
        fprintf(f, "siskin_store_revision{topic=\"%s\"} %llu\n",
                store_topic_name((store_topic_t)i),
                (unsigned long long)replica_revision(t->replica[i]));
    }
    fprintf(f, "# TYPE siskin_replica_age_milliseconds gauge\n");
    for (int i = 0; i < TOPICS; i++) {
        fprintf(f, "siskin_replica_age_milliseconds{topic=\"%s\"} %lld\n",
                store_topic_name((store_topic_t)i),
                (long long)(now - replica_current_at(t->replica[i])));
    }
}

static void
store_call_metrics(FILE *f, const tagged_t *t)
{
    fprintf(f, "# TYPE siskin_store_calls_by_kind_total counter\n");
    for (int i = 0; i < STORE_CALL_KINDS; i++) {
        store_call_t kind = (store_call_t)i;
        uint64_t n = store_calls_of_kind(t->store[TOPIC_UPSTREAMS], kind) +
                     store_calls_of_kind(t->store[TOPIC_OPERATOR], kind) +
                     store_calls_of_kind(t->writer, kind);
        fprintf(f, "siskin_store_calls_by_kind_total{kind=\"%s\"} %llu\n",
                store_call_name(kind), (unsigned long long)n);
    }
}

char *
tagged_metrics(tagged_t *t, uint32_t followers)
{
    const tagged_counters_t *c = &t->count;
    const flow_stats_t s = copy_stats(t);
    char *text = NULL;
    size_t len = 0;
    FILE *f = open_memstream(&text, &len);

    if (f == NULL) {
        return NULL;
    }
    flow_metrics(f, &s);
    metric_print(f, "counter", "siskin_received_total",
                 counter_read(&c->received));
    metric_print(f, "counter", "siskin_sent_total", counter_read(&c->sent));
    metric_print(f, "counter", "siskin_unreadable_total",
                 counter_read(&c->unreadable));
    metric_print(f, "counter", "siskin_send_failed_total",
                 counter_read(&c->send_failed));
    metric_print(f, "counter", "siskin_paced_total", counter_read(&c->paced));
    metric_print(f, "counter", "siskin_paced_retransmits_total",
                 counter_read(&c->retransmits));
    metric_print(f, "counter", "siskin_paced_dropped_total",
                 counter_read(&c->evicted));
    metric_print(f, "counter", "siskin_pauses_total",
                 counter_read(&c->pauses));
    metric_print(f, "gauge", "siskin_store_up", ATOMIC_GET(t, store_up));
    replica_metrics(f, t);
    metric_print(f, "counter", "siskin_store_calls_total",
                 store_calls(t->store[TOPIC_UPSTREAMS]) +
                     store_calls(t->store[TOPIC_OPERATOR]) +
                     store_calls(t->writer));
    store_call_metrics(f, t);
    metric_print(f, "counter", "siskin_store_lists_total",
                 counter_read(&c->store_lists));
    metric_print(f, "counter", "siskin_store_failures_total",
                 counter_read(&c->store_failures));
    metric_print(f, "counter", "siskin_store_items_refused_total",
                 counter_read(&c->refused_items));
    metric_print(f, "counter", "siskin_peer_calls_total",
                 counter_read(&c->peer_calls));
    metric_print(f, "counter", "siskin_peer_failures_total",
                 counter_read(&c->peer_failures));
    metric_print(f, "counter", "siskin_news_from_check_total",
                 counter_read(&c->check_updates));
    metric_print(f, "gauge", "siskin_followers", followers);
    metric_print(f, "counter", "siskin_followers_sent_on_total",
                 counter_read(&c->followers_redirected));
    metric_print(f, "counter", "siskin_news_put_off_total",
                 counter_read(&c->updates_deferred));
    metric_print(f, "counter", "siskin_log_lines_limited_total",
                 counter_read(&c->log_lines_limited));
    metric_print(f, "counter", "siskin_log_lines_left_out_total",
                 log_dropped_lines());
    load_metrics(f, t);
    fclose(f);
    return text;
}

char *
tagged_status(tagged_t *t)
{
    const flow_stats_t s = copy_stats(t);
    json_t *o = json_pack(
        "{ss ss sb sb sb sI sI sI sI sI sI sI sI so*}", "instance",
        t->settings.name, "data_centre", t->settings.data_centre, "ready",
        ATOMIC_GET(t, ready), "leaving", ATOMIC_GET(t, draining), "store_up",
        ATOMIC_GET(t, store_up), "version", (json_int_t)s.version, "revision",
        (json_int_t)replica_revision(t->replica[TOPIC_UPSTREAMS]),
        "replica_age_ms", (json_int_t)(clock_now() - tagged_current_at(t)),
        "upstreams", (json_int_t)s.upstreams, "usable", (json_int_t)s.usable,
        "data_centres_evacuated", (json_int_t)s.evacuated, "requests_in_force",
        (json_int_t)s.requests, "flows", (json_int_t)s.records, "load",
        load_status(t));
    char *text = json_dumps(o, JSON_INDENT(2));

    json_decref(o);
    return text;
}
