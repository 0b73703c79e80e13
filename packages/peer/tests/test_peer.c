#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "sas/peer.h"
#include "sas/record.h"

#define MAX_PEERS 9
#define MAX_TURNS 200000 /* of the loop; each blocks a few ms at most */

static const uint8_t key[32] = "a shared key of the test, 32 by";

/* One entry VM: a peer task and its owner with a configuration. */
struct owner {
    struct sas_peer_handler handler;
    struct sas_peer *peer;
    GRand *random;
    uint64_t version;
    int borrow_calls;
    uint64_t lent;
    int quarantines;
    int leaving_backends;
    uint64_t load_seen;
};

static uv_loop_t loop;
static struct sas_vm vms[MAX_PEERS];
static struct sas_model model;
static struct owner owners[MAX_PEERS];
static int listeners[MAX_PEERS];
static int closed_count;
static int64_t interval_ms = 20;

/* Owner */

static void
fill_gossip(struct sas_peer_handler *handler, struct sas_rpc_gossip *gossip)
{
    static struct sas_rpc_load load = {.backend = 3, .running = 2};
    struct owner *owner = (struct owner *)handler;
    gossip->config_version = owner->version;
    gossip->loads.loads_len = 1;
    gossip->loads.loads_val = &load;
}

static bool
apply_gossip(struct sas_peer_handler *handler, int member_id,
             const struct sas_rpc_gossip *gossip)
{
    struct owner *owner = (struct owner *)handler;
    assert_int_equal(gossip->member_id, member_id);
    owner->load_seen += gossip->loads.loads_val[0].running;
    return false;
}

static int
provide_config(struct sas_peer_handler *handler, uint64_t have,
               struct sas_rpc_config *config)
{
    struct owner *owner = (struct owner *)handler;
    if (owner->version > have) {
        config->config_version = owner->version;
        config->bytes.bytes_val = (char *)"{\"rows\":[]}";
        config->bytes.bytes_len = 11;
    }
    return 0;
}

static bool
apply_config(struct sas_peer_handler *handler, int member_id,
             const struct sas_rpc_config *config)
{
    struct owner *owner = (struct owner *)handler;
    (void)member_id;
    assert_int_equal(config->bytes.bytes_len, 11);
    owner->version = config->config_version;
    return true;
}

static uint64_t
answer_borrow(struct sas_peer_handler *handler, int member_id,
              const struct sas_rpc_borrow *borrow)
{
    struct owner *owner = (struct owner *)handler;
    (void)member_id;
    owner->borrow_calls++;
    owner->lent += borrow->wanted;
    return borrow->wanted;
}

static bool
apply_quarantines(struct sas_peer_handler *handler, int member_id,
                  const struct sas_rpc_quarantine *entries, int count)
{
    struct owner *owner = (struct owner *)handler;
    (void)member_id;
    assert_int_equal(entries[0].high, 77);
    bool is_new = owner->quarantines == 0;
    owner->quarantines = count;
    return is_new;
}

static bool
apply_leaving(struct sas_peer_handler *handler, int member_id,
              const struct sas_rpc_leaving *leaving)
{
    struct owner *owner = (struct owner *)handler;
    (void)member_id;
    bool is_new = owner->leaving_backends == 0;
    owner->leaving_backends += (int)leaving->backends.backends_len;
    return is_new && leaving->backends.backends_len > 0;
}

/* Harness */

static int
bind_listener(struct sas_address *address)
{
    struct sockaddr_in bound = {.sin_family = AF_INET};
    socklen_t size = sizeof(bound);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&bound, size), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&bound, &size), 0);
    strcpy(address->ip, "127.0.0.1");
    address->port = ntohs(bound.sin_port);
    return fd;
}

static void
start_owner(int member_id, uint64_t incarnation, const uint8_t *with_key)
{
    struct owner *owner = &owners[member_id];
    struct sas_peer_options options;
    struct sas_error error;
    memset(owner, 0, sizeof(*owner));
    owner->handler = (struct sas_peer_handler){
        .fill_gossip = fill_gossip,
        .on_gossip = apply_gossip,
        .get_config = provide_config,
        .on_config = apply_config,
        .on_borrow = answer_borrow,
        .on_quarantines = apply_quarantines,
        .on_leaving = apply_leaving,
    };
    owner->random = g_rand_new_with_seed((guint32)member_id + 1);
    SasPeer_InitOptions(&options);
    options.listen_fd = listeners[member_id];
    options.random = owner->random;
    options.interval_ms = interval_ms;
    options.call_timeout_ms = 300;
    options.hello_timeout_ms = 200;
    assert_int_equal(SasPeer_Open(&owner->peer, &loop, &model, member_id,
                                  with_key, sizeof(key), incarnation,
                                  &owner->handler, &options, &error),
                     0);
}

static void
prepare(int count)
{
    uv_loop_init(&loop);
    memset(&model, 0, sizeof(model));
    memset(owners, 0, sizeof(owners));
    model.vms = vms;
    model.vm_count = count;
    closed_count = 0;
    for (int i = 0; i < count; i++) {
        snprintf(vms[i].name, sizeof(vms[i].name), "vm-%d", i);
        listeners[i] = bind_listener(&vms[i].peer);
    }
}

static void
start_all(int count)
{
    prepare(count);
    for (int i = 0; i < count; i++) {
        start_owner(i, 1000 + (uint64_t)i, key);
    }
}

static void
on_done(void *context)
{
    struct owner *owner = context;
    closed_count++;
    owner->peer = NULL;
    g_rand_free(owner->random);
}

static void
finish(void)
{
    for (int i = 0; i < model.vm_count; i++) {
        if (owners[i].peer != NULL) {
            SasPeer_Close(owners[i].peer, on_done, &owners[i]);
        }
    }
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
}

static bool
run_until(bool (*condition)(void))
{
    for (int i = 0; i < MAX_TURNS && !condition(); i++) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return condition();
}

/* Gossip and configuration */

static bool
all_have_version_5(void)
{
    for (int i = 0; i < model.vm_count; i++) {
        if (owners[i].version != 5) {
            return false;
        }
    }
    return true;
}

static bool
all_are_live_at_all(void)
{
    for (int i = 0; i < model.vm_count; i++) {
        const struct sas_membership *table =
            SasPeer_GetMembership(owners[i].peer);
        for (int member_id = 0; member_id < model.vm_count; member_id++) {
            if (SasMembership_GetState(table, member_id, SasPeer_GetNow()) !=
                SAS_MEMBER_LIVE) {
                return false;
            }
        }
    }
    return true;
}

static void
test_version_reaches_all(void **state)
{
    (void)state;
    start_all(9);
    assert_true(run_until(all_are_live_at_all));
    owners[4].version = 5;
    SasPeer_GossipSoon(owners[4].peer);
    assert_true(run_until(all_have_version_5));
    assert_true(owners[0].load_seen > 0);
    finish();
    assert_int_equal(closed_count, 9);
}

static bool
all_have_applied(void)
{
    for (int i = 0; i < model.vm_count; i++) {
        const struct sas_membership *table =
            SasPeer_GetMembership(owners[i].peer);
        if (owners[i].quarantines != 1 || owners[i].leaving_backends == 0 ||
            SasMembership_GetState(table, 2, SasPeer_GetNow()) !=
                SAS_MEMBER_LEAVING) {
            return false;
        }
    }
    return true;
}

static void
test_quarantine_and_leaving_reach_all(void **state)
{
    (void)state;
    struct sas_rpc_quarantine entry = {.high = 77};
    struct sas_rpc_leaving_backend backend = {.backend = 5};
    start_all(9);
    assert_true(run_until(all_are_live_at_all));
    owners[2].quarantines = 1;
    owners[2].leaving_backends = 1;
    SasPeer_SendQuarantines(owners[2].peer, &entry, 1);
    SasPeer_SendLeaving(owners[2].peer, &backend, 1);
    SasPeer_SetLeaving(owners[2].peer);
    for (int round = 0; round < 50 && !all_have_applied(); round++) {
        /* Random picks may miss a member: owners resend each second. */
        SasPeer_SendQuarantines(owners[round % 9].peer, &entry, 1);
        SasPeer_SendLeaving(owners[round % 9].peer, &backend, 1);
        for (int i = 0; i < 100; i++) {
            uv_run(&loop, UV_RUN_ONCE);
        }
    }
    assert_true(all_have_applied());
    finish();
}

static int answers;
static uint64_t granted;
static enum sas_error_code answer_code;

static void
on_grant(void *context, const struct sas_error *error,
         const union sas_proto_body *body)
{
    (void)context;
    answers++;
    answer_code = error != NULL ? error->code : SAS_OK;
    granted += error != NULL ? 0 : body->grant.granted;
}

static bool
is_answered(void)
{
    return answers > 0;
}

static void
request_loan(int from, int to)
{
    struct sas_rpc_borrow borrow = {.budget = 1, .loan = 9, .wanted = 4};
    answers = 0;
    granted = 0;
    assert_int_equal(SasPeer_CallBorrow(owners[from].peer, to, &borrow, 0,
                                        on_grant, NULL, NULL),
                     0);
}

static void
test_loan_is_granted(void **state)
{
    (void)state;
    start_all(2);
    request_loan(0, 1);
    assert_true(run_until(is_answered));
    assert_int_equal(granted, 4);
    assert_int_equal(owners[1].lent, 4);
    assert_int_equal(SasPeer_CallBorrow(owners[0].peer, 0,
                                        &(struct sas_rpc_borrow){0}, 0,
                                        on_grant, NULL, NULL),
                     -1);
    finish();
}

static uint64_t fetched_version;

static void
on_fetched(void *context, const struct sas_error *error,
           const union sas_proto_body *body)
{
    (void)context;
    assert_null(error);
    answers++;
    fetched_version = body->config.config_version;
}

static void
test_newer_configuration_is_fetched(void **state)
{
    (void)state;
    interval_ms = 1000000;
    start_all(2);
    owners[1].version = 8;
    for (uint64_t have = 7; have <= 8; have++) {
        answers = 0;
        assert_int_equal(SasPeer_CallConfig(owners[0].peer, 1, have, 0,
                                            on_fetched, NULL, NULL),
                         0);
        assert_true(run_until(is_answered));
        assert_int_equal(fetched_version, have == 7 ? 8 : 0);
    }
    finish();
}

/* Failures of processes */

static bool
first_counts_last_as_dead(void)
{
    return SasMembership_GetState(SasPeer_GetMembership(owners[0].peer),
                                  model.vm_count - 1,
                                  SasPeer_GetNow()) == SAS_MEMBER_DEAD;
}

static bool
last_knows_that_it_was_replaced(void)
{
    return SasPeer_GetMembership(owners[model.vm_count - 1].peer)
               ->newer_incarnation == 5000;
}

/* A process dies and a new one starts for the same member. The others detect
 * the failure, then the new incarnation. If the old process was only paused
 * and resumes, no peer may accept it, and it has to learn that it was
 * replaced. */
static void
test_replaced_process_is_refused(void **state)
{
    (void)state;
    start_all(3);
    assert_true(run_until(all_are_live_at_all));
    struct sas_address address = vms[2].peer;
    int kept = dup(listeners[2]);
    SasPeer_Close(owners[2].peer, on_done, &owners[2]);
    assert_true(run_until(first_counts_last_as_dead));
    listeners[2] = dup(kept);
    start_owner(2, 5000, key);
    assert_true(run_until(all_are_live_at_all));
    assert_int_equal(
        SasPeer_GetMembership(owners[0].peer)->members[2].incarnation, 5000);
    SasPeer_Close(owners[2].peer, on_done, &owners[2]);
    assert_true(run_until(first_counts_last_as_dead));
    listeners[2] = kept;
    start_owner(2, 4000, key);
    assert_int_equal(address.port, vms[2].peer.port);
    for (int i = 0; i < MAX_TURNS; i++) {
        uv_run(&loop, UV_RUN_ONCE);
        if (SasPeer_GetCounter(owners[0].peer, SAS_PEER_OLD_INCARNATION) > 0) {
            break;
        }
    }
    assert_true(SasPeer_GetCounter(owners[0].peer, SAS_PEER_OLD_INCARNATION) >
                0);
    assert_true(run_until(last_knows_that_it_was_replaced));
    assert_true(first_counts_last_as_dead());
    finish();
}

static bool
four_have_version_5(void)
{
    return owners[0].version == 5 && owners[1].version == 5 &&
           owners[2].version == 5 && owners[3].version == 5;
}

/* A process is stopped in a debugger: its kernel accepts connections, but no
 * call is answered. The others must not be delayed, and calls to it fail as
 * not sent, since it was never authenticated. */
static void
test_frozen_peer_delays_no_other(void **state)
{
    (void)state;
    prepare(5);
    assert_int_equal(listen(listeners[4], 128), 0);
    for (int i = 0; i < 4; i++) {
        start_owner(i, 1000, key);
    }
    request_loan(0, 4);
    owners[0].version = 5;
    SasPeer_GossipSoon(owners[0].peer);
    assert_true(run_until(four_have_version_5));
    assert_true(run_until(is_answered));
    assert_int_equal(answer_code, SAS_EUNAVAILABLE);
    assert_true(SasPeer_GetCounter(owners[0].peer, SAS_PEER_HELLO_TIMEOUT) >
                0);
    finish();
    close(listeners[4]);
}

static bool
wrong_key_was_refused(void)
{
    return SasPeer_GetCounter(owners[0].peer, SAS_PEER_BAD_DIGEST) > 2;
}

/* One VM has an outdated key. It must be refused and get no data, while the
 * others work. */
static void
test_wrong_key_is_refused(void **state)
{
    (void)state;
    uint8_t wrong[sizeof(key)];
    memcpy(wrong, key, sizeof(key));
    wrong[0] ^= 1;
    prepare(5);
    for (int i = 0; i < 5; i++) {
        start_owner(i, 1000, i == 4 ? wrong : key);
    }
    owners[0].version = 5;
    owners[4].version = 66;
    assert_true(run_until(four_have_version_5));
    assert_true(run_until(wrong_key_was_refused));
    assert_int_equal(owners[4].version, 66);
    assert_int_equal(owners[4].load_seen, 0);
    assert_true(four_have_version_5());
    finish();
}

/* Scripted ends of a connection */

struct script {
    int fd;
    struct sas_record_reader reader;
    struct sas_proto_session session;
    struct sas_proto_key *key;
    struct sas_rpc_identity identity; /* of what it sends */
};

static void
open_script(struct script *script, int fd, int own_id, uint64_t incarnation)
{
    memset(script, 0, sizeof(*script));
    script->fd = fd;
    script->key = SasProto_NewKey(key, sizeof(key), NULL);
    script->identity.sender = (uint32_t)own_id;
    script->identity.sender_incarnation = incarnation;
    SasRecord_InitReader(&script->reader, SasProto_MAX_RECORD);
}

static void
close_script(struct script *script)
{
    close(script->fd);
    SasRecord_CloseReader(&script->reader);
    SasProto_FreeKey(script->key);
}

/* Runs the loop until a whole record has arrived; false: end of stream. */
static bool
receive(struct script *script, struct sas_proto_message *message)
{
    for (int i = 0; i < MAX_TURNS;) {
        uint8_t byte;
        size_t used;
        ssize_t size = recv(script->fd, &byte, 1, MSG_DONTWAIT);
        if (size < 0 && errno == EAGAIN) {
            uv_run(&loop, UV_RUN_ONCE);
            i++;
        }
        else if (size <= 0) {
            return false;
        }
        else if (SasRecord_Feed(&script->reader, &byte, 1, &used) == 1) {
            return SasProto_Authenticate(
                       script->key, &script->session, script->reader.bytes,
                       script->reader.size, message, NULL) == 0;
        }
    }
    fail_msg("no record arrived");
    return false;
}

static void
send_bytes(const struct script *script, const uint8_t *bytes, size_t size)
{
    assert_int_equal(send(script->fd, bytes, size, MSG_NOSIGNAL), size);
}

static uint8_t *
seal(struct script *script, struct sas_proto_message *message, size_t *size)
{
    message->identity = script->identity;
    return SasProto_Encode(script->key, &script->session, message, size, NULL);
}

static void
send_message(struct script *script, struct sas_proto_message *message)
{
    size_t size;
    g_autofree uint8_t *bytes = seal(script, message, &size);
    send_bytes(script, bytes, size);
}

/* A scripted caller: connects and sends HELLO. */
static void
call_as(struct script *script, int own_id, uint64_t incarnation, int to)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct sas_proto_message hello = {.xid = 1, .procedure = SAS_RPC_HELLO};
    struct sas_proto_message reply = {0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)vms[to].peer.port);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    open_script(script, fd, own_id, incarnation);
    script->identity.receiver = (uint32_t)to;
    send_message(script, &hello);
    assert_true(receive(script, &reply));
    reply.procedure = SAS_RPC_HELLO;
    assert_int_equal(SasProto_Decode(&reply, NULL), 0);
    script->identity.receiver_incarnation = reply.identity.sender_incarnation;
    memcpy(script->session.answerer_nonce, reply.body.hello.nonce,
           SAS_RPC_NONCE_SIZE);
}

/* A scripted peer as member 1: accepts and answers HELLO. */
static void
answer_as_member_1(struct script *script)
{
    struct sas_proto_message hello = {0};
    int fd = -1;
    for (int i = 0; i < MAX_TURNS && fd < 0; i++) {
        uv_run(&loop, UV_RUN_ONCE);
        fd = accept4(listeners[1], NULL, NULL, SOCK_CLOEXEC);
    }
    assert_true(fd >= 0);
    open_script(script, fd, 1, 2000);
    assert_true(receive(script, &hello));
    assert_int_equal(SasProto_Decode(&hello, NULL), 0);
    script->identity.receiver = hello.identity.sender;
    script->identity.receiver_incarnation = hello.identity.sender_incarnation;
    memcpy(script->session.caller_nonce, hello.body.hello.nonce,
           SAS_RPC_NONCE_SIZE);
    struct sas_proto_message reply = {.xid = hello.xid,
                                      .is_reply = true,
                                      .procedure = SAS_RPC_HELLO,
                                      .status = SUCCESS};
    send_message(script, &reply);
}

static struct sas_proto_message
grant_for(const struct sas_proto_message *call)
{
    return (struct sas_proto_message){.xid = call->xid,
                                      .is_reply = true,
                                      .procedure = SAS_RPC_BORROW,
                                      .status = SUCCESS,
                                      .body.grant = {9, 4}};
}

static void
start_with_scripted_member_1(void)
{
    interval_ms = 1000000;
    prepare(2);
    assert_int_equal(listen(listeners[1], 16), 0);
    start_owner(0, 1000, key);
}

static bool
late_answer_was_dropped(void)
{
    return SasPeer_GetCounter(owners[0].peer, SAS_PEER_REPLIES_LATE) > 0;
}

/* A loan is granted, but the answer arrives after the borrower's timeout. The
 * lender takes the units back some time later. If the borrower used the late
 * answer, both would use them. */
static void
test_late_grant_is_dropped(void **state)
{
    (void)state;
    struct script script;
    struct sas_proto_message call = {0};
    start_with_scripted_member_1();
    request_loan(0, 1);
    answer_as_member_1(&script);
    assert_true(receive(&script, &call));
    assert_true(run_until(is_answered));
    assert_int_equal(answer_code, SAS_ETIMEOUT);
    struct sas_proto_message grant = grant_for(&call);
    send_message(&script, &grant);
    assert_true(run_until(late_answer_was_dropped));
    assert_int_equal(answers, 1);
    assert_int_equal(granted, 0);
    finish();
    close_script(&script);
    close(listeners[1]);
}

/* The network delivers the answer twice. */
static void
test_repeated_grant_counts_once(void **state)
{
    (void)state;
    struct script script;
    struct sas_proto_message call = {0};
    start_with_scripted_member_1();
    request_loan(0, 1);
    answer_as_member_1(&script);
    assert_true(receive(&script, &call));
    struct sas_proto_message grant = grant_for(&call);
    send_message(&script, &grant);
    send_message(&script, &grant);
    assert_true(run_until(late_answer_was_dropped));
    assert_int_equal(answers, 1);
    assert_int_equal(granted, 4);
    finish();
    close_script(&script);
    close(listeners[1]);
}

/* The process is paused in a callback and resumes later. */
static void
on_grant_pause(void *context, const struct sas_error *error,
               const union sas_proto_body *body)
{
    (void)context;
    (void)body;
    assert_null(error);
    usleep(350 * 1000); /* longer than the call's timeout */
}

/* The borrower requested two loans and is paused while a grant waits in its
 * socket; for the lender the loan has expired. When the process resumes, the
 * grant is read before any timer runs: it must not count. */
static void
test_paused_borrower_drops_expired_grant(void **state)
{
    (void)state;
    struct script script;
    struct sas_proto_message first = {0};
    struct sas_proto_message second = {0};
    struct sas_rpc_borrow borrow = {.budget = 1, .loan = 8, .wanted = 4};
    size_t size;
    size_t second_size;
    start_with_scripted_member_1();
    assert_int_equal(SasPeer_CallBorrow(owners[0].peer, 1, &borrow, 0,
                                        on_grant_pause, NULL, NULL),
                     0);
    request_loan(0, 1);
    answer_as_member_1(&script);
    assert_true(receive(&script, &first));
    struct sas_proto_message grant = grant_for(&first);
    g_autofree uint8_t *bytes = seal(&script, &grant, &size);
    assert_true(receive(&script, &second));
    grant = grant_for(&second);
    g_autofree uint8_t *more = seal(&script, &grant, &second_size);
    bytes = g_realloc(bytes, size + second_size);
    memcpy(bytes + size, more, second_size);
    send_bytes(&script, bytes, size + second_size);
    assert_true(run_until(is_answered));
    assert_int_equal(answer_code, SAS_ETIMEOUT);
    assert_int_equal(granted, 0);
    finish();
    close_script(&script);
    close(listeners[1]);
}

/* A middlebox forgets a connection: it stays open without any traffic, while
 * new ones work. Loans would fail until the kernel closes it after 15
 * minutes. */
static void
test_stalled_connection_is_replaced(void **state)
{
    (void)state;
    struct script stalled;
    struct script working;
    struct sas_proto_message call = {0};
    start_with_scripted_member_1();
    request_loan(0, 1);
    answer_as_member_1(&stalled);
    assert_true(run_until(is_answered));
    assert_int_equal(answer_code, SAS_ETIMEOUT);
    answer_as_member_1(&working);
    request_loan(0, 1);
    assert_true(receive(&working, &call));
    struct sas_proto_message grant = grant_for(&call);
    send_message(&working, &grant);
    assert_true(run_until(is_answered));
    assert_int_equal(granted, 4);
    assert_int_equal(
        SasPeer_GetCounter(owners[0].peer, SAS_PEER_CONNECTION_SILENT), 1);
    finish();
    close_script(&stalled);
    close_script(&working);
    close(listeners[1]);
}

static struct sas_proto_message
make_borrow(uint32_t xid)
{
    return (struct sas_proto_message){.xid = xid,
                                      .procedure = SAS_RPC_BORROW,
                                      .body.borrow = {1, 0, 9, 4, 0}};
}

/* An attacker on the path records a loan request and replays it, on the same
 * connection and on a new one. Each would be a second loan. */
static void
test_replayed_call_is_refused(void **state)
{
    (void)state;
    struct script script;
    struct script second;
    struct sas_proto_message reply = {0};
    size_t size;
    interval_ms = 1000000;
    prepare(2);
    start_owner(0, 1000, key);
    call_as(&script, 1, 2000, 0);
    struct sas_proto_message borrow = make_borrow(2);
    g_autofree uint8_t *recorded = seal(&script, &borrow, &size);
    send_bytes(&script, recorded, size);
    assert_true(receive(&script, &reply));
    send_bytes(&script, recorded, size);
    assert_false(receive(&script, &reply));
    call_as(&second, 1, 2000, 0);
    send_bytes(&second, recorded, size);
    assert_false(receive(&second, &reply));
    assert_int_equal(owners[0].borrow_calls, 1);
    assert_int_equal(SasPeer_GetCounter(owners[0].peer, SAS_PEER_REPLAYED), 1);
    assert_int_equal(SasPeer_GetCounter(owners[0].peer, SAS_PEER_BAD_DIGEST),
                     1);
    finish();
    close_script(&script);
    close_script(&second);
    close(listeners[1]);
}

/* A process is paused with its connections open, and a newer one of the same
 * member becomes known. The old one resumes and requests a loan, whose units
 * would never be returned. */
static void
test_replaced_process_gets_no_loan(void **state)
{
    (void)state;
    struct script old;
    struct script new;
    struct sas_proto_message reply = {0};
    struct sas_rpc_load load = {0};
    struct sas_rpc_member row = {.member_id = 1, .incarnation = 3000};
    interval_ms = 1000000;
    prepare(2);
    start_owner(0, 1000, key);
    call_as(&old, 1, 2000, 0);
    call_as(&new, 1, 3000, 0);
    struct sas_proto_message gossip = {
        .xid = 2,
        .procedure = SAS_RPC_GOSSIP,
        .body.gossip = {.member_id = 1,
                        .incarnation = 3000,
                        .loads = {1, &load},
                        .members = {1, &row}},
    };
    send_message(&new, &gossip);
    assert_true(receive(&new, &reply));
    struct sas_proto_message borrow = make_borrow(2);
    send_message(&old, &borrow);
    assert_false(receive(&old, &reply));
    assert_int_equal(owners[0].borrow_calls, 0);
    assert_int_equal(
        SasPeer_GetCounter(owners[0].peer, SAS_PEER_OLD_INCARNATION), 1);
    finish();
    close_script(&old);
    close_script(&new);
    close(listeners[1]);
}

/* A message with a valid HMAC that names another receiver, or an earlier
 * incarnation of this one. */
static void
test_message_with_wrong_identity_is_refused(void **state)
{
    (void)state;
    interval_ms = 1000000;
    prepare(3);
    start_owner(0, 1000, key);
    for (int i = 0; i < 3; i++) {
        struct script script;
        struct sas_proto_message reply = {0};
        call_as(&script, 1, 2000, 0);
        script.identity.receiver += i == 0 ? 2 : 0;
        script.identity.receiver_incarnation -= i == 1 ? 1 : 0;
        script.identity.sender += i == 2 ? 1 : 0;
        struct sas_proto_message borrow = make_borrow(2);
        send_message(&script, &borrow);
        assert_false(receive(&script, &reply));
        close_script(&script);
    }
    assert_int_equal(owners[0].borrow_calls, 0);
    assert_int_equal(SasPeer_GetCounter(owners[0].peer, SAS_PEER_BAD_IDENTITY),
                     3);
    finish();
    close(listeners[1]);
    close(listeners[2]);
}

/* A newer release calls a procedure that this one does not have: the reply
 * says so and the connection stays open. */
static void
test_unknown_procedure_is_refused(void **state)
{
    (void)state;
    struct script script;
    struct sas_proto_message reply = {0};
    interval_ms = 1000000;
    prepare(2);
    start_owner(0, 1000, key);
    call_as(&script, 1, 2000, 0);
    struct sas_proto_message hello = {.xid = 2, .procedure = SAS_RPC_HELLO};
    send_message(&script, &hello);
    assert_true(receive(&script, &reply));
    assert_int_equal(reply.status, PROC_UNAVAIL);
    struct sas_proto_message borrow = make_borrow(3);
    send_message(&script, &borrow);
    assert_true(receive(&script, &reply));
    assert_int_equal(reply.status, SUCCESS);
    finish();
    close_script(&script);
    close(listeners[1]);
}

static int
connect_raw(int to)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)vms[to].peer.port);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

static bool
raw_connections_are_closed(void)
{
    const struct sas_peer *peer = owners[0].peer;
    return SasPeer_GetCounter(peer, SAS_PEER_BAD_RECORD) +
               SasPeer_GetCounter(peer, SAS_PEER_BAD_DIGEST) +
               SasPeer_GetCounter(peer, SAS_PEER_BAD_MESSAGE) +
               SasPeer_GetCounter(peer, SAS_PEER_HELLO_TIMEOUT) +
               SasPeer_GetCounter(peer, SAS_PEER_CONNECTION_LOST) >=
           20;
}

static void
test_random_bytes_are_refused(void **state)
{
    (void)state;
    GRand *random = g_rand_new_with_seed(20261202);
    interval_ms = 20;
    start_all(3);
    for (int i = 0; i < 20; i++) {
        uint8_t bytes[600];
        int fd = connect_raw(0);
        for (size_t k = 0; k < sizeof(bytes); k++) {
            bytes[k] = (uint8_t)g_rand_int(random);
        }
        if (i % 2 == 0) { /* a valid record mark */
            SasRecord_PutMark(bytes, 100);
        }
        send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL);
        for (int round = 0; round < 10; round++) {
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        close(fd);
    }
    assert_true(run_until(raw_connections_are_closed));
    assert_true(SasPeer_GetCounter(owners[0].peer, SAS_PEER_BAD_DIGEST) > 0);
    assert_true(run_until(all_are_live_at_all));
    g_rand_free(random);
    finish();
}

static bool
some_were_refused(void)
{
    return SasPeer_GetCounter(owners[0].peer, SAS_PEER_REFUSED_LIMIT) >= 3;
}

static void
test_connections_per_address_are_bounded(void **state)
{
    (void)state;
    int fds[2 * SasPeer_CONNECTIONS_PER_MEMBER + 3] = {0};
    int count = (int)(sizeof(fds) / sizeof(fds[0]));
    interval_ms = 1000000;
    start_all(2);
    for (int i = 0; i < count; i++) {
        fds[i] = connect_raw(0);
    }
    assert_true(run_until(some_were_refused));
    assert_int_equal(SasPeer_GetCounter(owners[0].peer, SAS_PEER_ACCEPTED),
                     2 * SasPeer_CONNECTIONS_PER_MEMBER);
    for (int i = 0; i < count; i++) {
        close(fds[i]);
    }
    finish();
}

static int
set_up(void **state)
{
    (void)state;
    interval_ms = 20;
    return 0;
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup(name, set_up)
    const struct CMUnitTest tests[] = {
        TEST(test_version_reaches_all),
        TEST(test_quarantine_and_leaving_reach_all),
        TEST(test_loan_is_granted),
        TEST(test_newer_configuration_is_fetched),
        TEST(test_replaced_process_is_refused),
        TEST(test_frozen_peer_delays_no_other),
        TEST(test_wrong_key_is_refused),
        TEST(test_late_grant_is_dropped),
        TEST(test_repeated_grant_counts_once),
        TEST(test_paused_borrower_drops_expired_grant),
        TEST(test_stalled_connection_is_replaced),
        TEST(test_replayed_call_is_refused),
        TEST(test_replaced_process_gets_no_loan),
        TEST(test_message_with_wrong_identity_is_refused),
        TEST(test_unknown_procedure_is_refused),
        TEST(test_random_bytes_are_refused),
        TEST(test_connections_per_address_are_bounded),
    };
    signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
