/* The attempts of a request: waiting for a slot, sending, retrying. */
#include <stdio.h>
#include <string.h>

#include "forward_call.h"
#include "sas/metrics.h"

#define OWN_HEADERS 2   /* added by start_attempt() */
#define MEAN_SAMPLES 32 /* of the moving average of attempt durations */

static const struct sas_upstream_vtable attempt_vtable;
static void on_timer(uv_timer_t *timer);

/* Waiting and starting an attempt. */

static void
arm_timer(struct sas_forward_call *call, int64_t at)
{
    int64_t now = (int64_t)uv_now(call->forward->options.loop);
    uv_timer_start(&call->timer, on_timer, (uint64_t)MAX(at - now, 0), 0);
}

static void
start_attempt(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    const struct sas_forward_options *options = &forward->options;
    int64_t now = (int64_t)uv_now(options->loop);
    call->state = CALL_RUNNING;
    forward->service_times[call->request.service].running++;
    call->attempt_at = now;
    call->waiting_since = 0;
    call->answer_bytes = 0;
    call->shed = false;
    call->attempts++;
    uv_timer_stop(&call->timer);
    if (call->attempts == 1) {
        SasRetry_NoteFirst(&forward->retries[call->request.service], now);
    }
    char left[24];
    snprintf(left, sizeof(left), "%" G_GINT64_FORMAT, call->deadline_at - now);
    snprintf(call->attempt.request_id, sizeof(call->attempt.request_id),
             "%s-%" G_GINT64_MODIFIER "x-%d", options->id_prefix,
             forward->next_id++, call->attempts);
    guint count = call->headers->len;
    g_autofree struct sas_http_header *headers =
        g_new(struct sas_http_header, count + OWN_HEADERS);
    for (guint i = 0; i < count; i++) {
        headers[i] = g_array_index(call->headers, struct sas_http_header, i);
    }
    headers[count].name = "Sas-Deadline-Ms";
    headers[count].value = left;
    headers[count + 1].name = "Sas-Request-Id";
    headers[count + 1].value = call->attempt.request_id;
    struct sas_http_request request = {
        .method = call->request.method,
        .target = call->request.target,
        .headers = headers,
        .header_count = (int)count + OWN_HEADERS,
        .body = call->request.body,
        .body_size = call->request.body_size,
    };
    if (call->claim != NULL) {
        SasClaims_MarkSent(call->claim);
    }
    if (call->grant.cross_region) {
        SasMetrics_Add(options->counters->metrics,
                       options->counters->cross_region, 1);
    }
    SasUpstream_Send(options->upstream, call->grant.backend, &request,
                     call->deadline_at - now,
                     !call->idempotent || call->needs_new_connection,
                     &attempt_vtable, &call->attempt);
}

void
SasForwardCall_ReleaseGrant(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    struct service_time *service_time =
        &forward->service_times[call->request.service];
    int64_t now = (int64_t)uv_now(forward->options.loop);
    service_time->running--;
    service_time->mean_ms +=
        ((double)(now - call->attempt_at) - service_time->mean_ms) /
        MEAN_SAMPLES;
    SasRouter_Release(forward->options.router, call->request.service,
                      &call->grant, call->answer_bytes);
    SasForward_Wake(forward);
}

/* False when the call needs an isolated run and one of the same request is in
 * progress. */
static bool
begin_isolated_run(struct sas_forward_call *call)
{
    if (call->grant.isolated && !call->isolated_run) {
        call->isolated_run = SasPoisonGuard_BeginIsolatedRun(
            call->forward->options.poison_guard, call->fingerprint,
            call->query.max_run_ms);
        return call->isolated_run;
    }
    return true;
}

/* Asks for a slot; false when none is free. True when the attempt was started
 * or the call refused. */
static bool
try_acquire(struct sas_forward_call *call)
{
    int64_t now = (int64_t)uv_now(call->forward->options.loop);
    call->query.max_run_ms = call->deadline_at - now;
    call->query.waited_ms =
        call->waiting_since > 0 ? now - call->waiting_since : 0;
    enum sas_refusal reason = SAS_REFUSE_NO_HEADROOM;
    enum sas_router_decision decision = SasRouter_Acquire(
        call->forward->options.router, &call->query, &call->grant, &reason);
    if (decision == SAS_ROUTER_GRANTED && !begin_isolated_run(call)) {
        SasRouter_Release(call->forward->options.router, call->request.service,
                          &call->grant, 0);
        SasForwardCall_Refuse(call, SAS_REFUSE_SUSPECT, SAS_OUTCOME_NOT_RUN,
                              SasForwardCall_RETRY_AFTER_S);
        return true;
    }
    if (decision == SAS_ROUTER_GRANTED) {
        start_attempt(call);
        return true;
    }
    if (decision == SAS_ROUTER_REFUSED) {
        SasForwardCall_Refuse(call, reason, SAS_OUTCOME_NOT_RUN,
                              SasForwardCall_RETRY_AFTER_S);
        return true;
    }
    return false;
}

/* Admission control: true when the expected queueing time, by the number of
 * waiting requests and the mean duration of attempts, exceeds the limit. The
 * request is then refused at once rather than after the wait. */
static bool
exceeds_queue_wait(const struct sas_forward_call *call)
{
    const struct sas_forward *forward = call->forward;
    const struct service_time *service_time =
        &forward->service_times[call->request.service];
    int ahead = (int)forward->waiting[call->request.service].length;
    double wait_ms =
        (ahead + 1) * service_time->mean_ms / MAX(service_time->running, 1);
    return service_time->running > 0 &&
           wait_ms > (double)forward->options.queue_wait_ms;
}

void
SasForwardCall_Acquire(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    int64_t now = (int64_t)uv_now(forward->options.loop);
    GQueue *queue = &forward->waiting[call->request.service];
    if (now >= call->deadline_at) {
        SasForwardCall_Refuse(call, SAS_REFUSE_DEADLINE, SAS_OUTCOME_NOT_RUN,
                              SasForwardCall_RETRY_AFTER_S);
        return;
    }
    bool has_predecessors = !g_queue_is_empty(queue) && call->attempts == 0;
    if (!has_predecessors && try_acquire(call)) {
        return;
    }
    if (exceeds_queue_wait(call)) {
        SasForwardCall_Refuse(call, SAS_REFUSE_NO_HEADROOM,
                              SAS_OUTCOME_NOT_RUN,
                              SasForwardCall_RETRY_AFTER_S);
        return;
    }
    if (g_queue_get_length(queue) >= SasForward_MAX_WAITING) {
        SasForwardCall_Refuse(call, SAS_REFUSE_QUEUE_FULL, SAS_OUTCOME_NOT_RUN,
                              SasForwardCall_RETRY_AFTER_S);
        return;
    }
    call->state = CALL_WAITING;
    call->waiting_since = now;
    g_queue_push_tail(queue, call);
    arm_timer(call,
              MIN(call->deadline_at, now + forward->options.queue_wait_ms));
}

void
SasForward_Wake(struct sas_forward *forward)
{
    for (int i = 0; i < forward->options.model->service_count; i++) {
        GQueue *queue = &forward->waiting[i];
        while (!g_queue_is_empty(queue)) {
            struct sas_forward_call *call = g_queue_pop_head(queue);
            if (!try_acquire(call)) {
                g_queue_push_head(queue, call);
                break;
            }
        }
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct sas_forward_call *call = timer->data;
    int64_t now = (int64_t)uv_now(call->forward->options.loop);
    if (call->state != CALL_WAITING) {
        return;
    }
    g_queue_remove(&call->forward->waiting[call->request.service], call);
    SasForwardCall_Refuse(call,
                          now >= call->deadline_at ? SAS_REFUSE_DEADLINE
                                                   : SAS_REFUSE_QUEUE_TIMEOUT,
                          SAS_OUTCOME_NOT_RUN, SasForwardCall_RETRY_AFTER_S);
}

/* Retrying. */

static bool
may_retry(struct sas_forward_call *call, enum sas_retry_reason reason,
          bool may_have_run)
{
    struct sas_forward *forward = call->forward;
    const struct sas_counters *counters = forward->options.counters;
    int service = call->request.service;
    int64_t now = (int64_t)uv_now(forward->options.loop);
    int start = forward->candidate_starts[service];
    enum sas_retry_decision decision =
        SasRetry_Decide(&forward->retries[service], reason, call->idempotent,
                        may_have_run ? SAS_RETRY_UNKNOWN : SAS_RETRY_NOT_RUN,
                        call->deadline_at - now, call->query.tried,
                        call->query.tried_count, forward->candidates + start,
                        forward->candidate_starts[service + 1] - start, now);
    bool granted =
        decision == SAS_RETRY_YES && call->attempts < SasRetry_MAX_ATTEMPTS;
    SasMetrics_Add(counters->metrics,
                   granted ? counters->retries[reason]
                           : counters->retries_denied[decision],
                   1);
    return granted;
}

static void
note_tried(struct sas_forward_call *call)
{
    if (call->query.tried_count < SasRouter_MAX_TRIED) {
        call->query.tried[call->query.tried_count++] = call->grant.backend;
    }
}

/* Retries on another backend server, or refuses. The attempt has ended. */
static void
retry_or_refuse(struct sas_forward_call *call, enum sas_retry_reason why,
                enum sas_refusal reason, enum sas_outcome outcome)
{
    bool may_have_run = outcome != SAS_OUTCOME_NOT_RUN;
    call->may_have_run |= may_have_run;
    /* What broke this connection may have broken idle ones to other servers
     * too. */
    call->needs_new_connection |= why == SAS_RETRY_RESET;
    note_tried(call);
    g_string_truncate(call->buffered, 0);
    g_array_set_size(call->answer_headers, 0);
    int retry_after_s = 0;
    enum sas_quarantine_decision decision =
        SasForwardCall_CheckPoison(call, &retry_after_s);
    bool allowed =
        decision == SAS_QUARANTINE_ALLOW || decision == SAS_QUARANTINE_ISOLATE;
    if (call->reply == NULL || !allowed ||
        !may_retry(call, why, may_have_run)) {
        SasForwardCall_Refuse(
            call, reason, outcome,
            MAX(retry_after_s, SasForwardCall_RETRY_AFTER_S));
        return;
    }
    SasForwardCall_Acquire(call);
}

/* Attempts. */

static bool
is_shed(int status, const struct sas_http_header *headers, int header_count)
{
    const char *outcome =
        SasHttp_FindHeader(headers, header_count, "sas-outcome");
    return status == 503 && outcome != NULL && strcmp(outcome, "not-run") == 0;
}

static void
attempt_on_head(struct sas_upstream_call *attempt, int status,
                const struct sas_http_header *headers, int header_count)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    call->status = status;
    call->answer_length = -1;
    call->shed = is_shed(status, headers, header_count);
    const char *length =
        SasHttp_FindHeader(headers, header_count, "content-length");
    if (length != NULL) {
        call->answer_length = g_ascii_strtoll(length, NULL, 10);
    }
    SasForwardCall_CopyHeaders(call, headers, header_count,
                               call->answer_headers);
}

static void
attempt_on_body(struct sas_upstream_call *attempt, const char *data,
                size_t size)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    call->answer_bytes += (int64_t)size;
    if (call->shed) {
        return;
    }
    if (call->streaming) {
        call->reply->vtable->on_body(call->reply, data, size);
        return;
    }
    /* The first bytes are buffered, so that an answer that breaks early can be
     * retried before the caller has seen a part of it. */
    g_string_append_len(call->buffered, data, (gssize)size);
    size_t limit = call->at_most_once ? SasClaims_MAX_STORED_BYTES
                                      : SasForward_FIRST_BUFFER_BYTES;
    if (call->buffered->len <= limit) {
        return;
    }
    if (call->reply == NULL) {
        /* Too large to be stored, and nobody waits for it: a server in
         * trouble may go on without end. */
        SasForwardCall_Abandon(call);
        return;
    }
    call->streaming = true;
    SasForwardCall_PassAnswer(call);
}

static void
end_streaming(struct sas_forward_call *call, bool whole)
{
    const struct sas_counters *counters = call->forward->options.counters;
    SasForwardCall_LeaveClaimHeld(call); /* too large to be stored */
    if (whole) {
        SasForwardCall_Complete(call);
        return;
    }
    SasMetrics_Add(counters->metrics, counters->aborted, 1);
    struct sas_forward_reply *reply = call->reply;
    SasForwardCall_Finish(call);
    if (reply != NULL) {
        reply->vtable->on_abort(reply);
    }
}

static void
attempt_on_end(struct sas_upstream_call *attempt, bool whole)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_options *options = &call->forward->options;
    if (call->grant.isolated && !call->shed) {
        SasPoisonGuard_NoteCompleted(options->poison_guard, call->fingerprint);
    }
    SasForwardCall_ReleaseGrant(call);
    if (call->shed) {
        SasRouter_NoteShed(options->router, call->grant.backend);
        retry_or_refuse(call, SAS_RETRY_SHED, SAS_REFUSE_SHED,
                        SAS_OUTCOME_NOT_RUN);
        return;
    }
    if (call->streaming) {
        end_streaming(call, whole);
        return;
    }
    if (!whole) {
        SasForwardCall_Refuse(call, SAS_REFUSE_ANSWER_UNFRAMED,
                              SAS_OUTCOME_RAN, SasForwardCall_RETRY_AFTER_S);
        return;
    }
    if (call->answer_length < 0) {
        call->answer_length = (int64_t)call->buffered->len;
    }
    if (call->claim != NULL) {
        call->state = CALL_SAVING;
        SasClaims_Finish(
            call->claim, call->status,
            (const struct sas_http_header *)call->answer_headers->data,
            (int)call->answer_headers->len, call->buffered->str,
            call->buffered->len);
        return;
    }
    SasForwardCall_PassAnswer(call);
    SasForwardCall_Complete(call);
}

static void
attempt_on_fail(struct sas_upstream_call *attempt,
                const struct sas_http_failure *failure)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_options *options = &call->forward->options;
    bool lost = failure->sent && failure->error.code == SAS_EIO;
    if (lost && !SasRouter_IsLeaving(options->router, call->grant.backend)) {
        SasPoisonGuard_NoteLost(options->poison_guard, call->fingerprint,
                                call->grant.backend, call->grant.isolated);
    }
    SasForwardCall_ReleaseGrant(call);
    if (call->streaming) {
        end_streaming(call, false);
    }
    else if (!failure->sent) {
        retry_or_refuse(call, SAS_RETRY_CONNECT, SAS_REFUSE_NO_BACKEND,
                        SAS_OUTCOME_NOT_RUN);
    }
    else if (!lost) {
        SasForwardCall_Refuse(call, SAS_REFUSE_DEADLINE, SAS_OUTCOME_UNKNOWN,
                              SasForwardCall_RETRY_AFTER_S);
    }
    else if (failure->begun) {
        retry_or_refuse(call, SAS_RETRY_RESET, SAS_REFUSE_ANSWER_CUT,
                        SAS_OUTCOME_UNKNOWN);
    }
    else {
        retry_or_refuse(call, SAS_RETRY_RESET, SAS_REFUSE_LOST,
                        SAS_OUTCOME_UNKNOWN);
    }
}

/* The connection seems to have stalled. An idempotent request is retried over
 * a new one: at once if the backend server does not count it as running, else
 * after half of the time to its deadline. Any other request waits for its
 * deadline: a second run would be worse than a late "unknown". */
static void
attempt_on_stall(struct sas_upstream_call *attempt, bool unknown_to_server)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_options *options = &call->forward->options;
    int64_t now = (int64_t)uv_now(options->loop);
    bool half_elapsed = now - call->attempt_at > call->deadline_at - now;
    if (!call->idempotent || !(unknown_to_server || half_elapsed) ||
        call->reply == NULL || !may_retry(call, SAS_RETRY_STALL, true)) {
        return;
    }
    SasUpstream_Cancel(attempt);
    call->may_have_run = true;
    call->needs_new_connection = true;
    SasForwardCall_ReleaseGrant(call);
    /* A stalled connection is no fault of its backend server, which may be
     * tried again over a new one; a slow server is not. */
    if (!unknown_to_server) {
        note_tried(call);
    }
    SasForwardCall_Acquire(call);
}

static const struct sas_upstream_vtable attempt_vtable = {
    .on_head = attempt_on_head,
    .on_body = attempt_on_body,
    .on_end = attempt_on_end,
    .on_fail = attempt_on_fail,
    .on_stall = attempt_on_stall,
};
