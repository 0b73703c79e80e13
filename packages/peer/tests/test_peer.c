#include <arpa/inet.h>
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
#define MAX_TURNS 200000 /* of the loop; each waits a few ms at most */

static const uint8_t key[32] = "a shared key of the test, 32 by";

/* One entry VM: a peer task and an owner that keeps a configuration. */
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
take_gossip(struct sas_peer_handler *handler, int seat,
            const struct sas_rpc_gossip *gossip)
{
    struct owner *owner = (struct owner *)handler;
    assert_int_equal(gossip->seat, seat);
    owner->load_seen += gossip->loads.loads_val[0].running;
    return false;
}

static int
provide_config(struct sas_peer_handler *handler, uint64_t have,
               struct sas_rpc_config *config)
{
    struct owner *owner = (struct owner *)handler;
    if (owner->version > have) {
        config->number = owner->version;
        config->bytes.bytes_val = (char *)"{\"rows\":[]}";
        config->bytes.bytes_len = 11;
    }
    return 0;
}

static bool
take_config(struct sas_peer_handler *handler, int seat,
            const struct sas_rpc_config *config)
{
    struct owner *owner = (struct owner *)handler;
    (void)seat;
    assert_int_equal(config->bytes.bytes_len, 11);
    owner->version = config->number;
    return true;
}

static uint64_t
answer_borrow(struct sas_peer_handler *handler, int seat,
              const struct sas_rpc_borrow *borrow)
{
    struct owner *owner = (struct owner *)handler;
    (void)seat;
    owner->borrow_calls++;
    owner->lent += borrow->wanted;
    return borrow->wanted;
}

static bool
take_quarantines(struct sas_peer_handler *handler, int seat,
                 const struct sas_rpc_quarantine *entries, int count)
{
    struct owner *owner = (struct owner *)handler;
    (void)seat;
    assert_int_equal(entries[0].high, 77);
    bool is_new = owner->quarantines == 0;
    owner->quarantines = count;
    return is_new;
}

static bool
take_leaving(struct sas_peer_handler *handler, int seat,
             const struct sas_rpc_leaving *leaving)
{
    struct owner *owner = (struct owner *)handler;
    (void)seat;
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
start_owner(int seat, uint64_t incarnation, const uint8_t *with_key)
{
    struct owner *owner = &owners[seat];
    struct sas_peer_options options;
    struct sas_error error;
    memset(owner, 0, sizeof(*owner));
    owner->handler = (struct sas_peer_handler){
        .fill_gossip = fill_gossip,
        .take_gossip = take_gossip,
        .provide_config = provide_config,
        .take_config = take_config,
        .answer_borrow = answer_borrow,
        .take_quarantines = take_quarantines,
        .take_leaving = take_leaving,
    };
    owner->random = g_rand_new_with_seed((guint32)seat + 1);
    SasPeer_InitOptions(&options);
    options.listen_fd = listeners[seat];
    options.random = owner->random;
    options.interval_ms = 20;
    options.call_timeout_ms = 300;
    options.hello_timeout_ms = 200;
    assert_int_equal(SasPeer_Open(&owner->peer, &loop, &model, seat, with_key,
                                  sizeof(key), incarnation, &owner->handler,
                                  &options, &error),
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
all_see_all(void)
{
    for (int i = 0; i < model.vm_count; i++) {
        const struct sas_membership *table =
            SasPeer_GetMembership(owners[i].peer);
        for (int seat = 0; seat < model.vm_count; seat++) {
            if (SasMembership_GetState(table, seat, SasPeer_GetNow()) !=
                SAS_MEMBER_LIVE) {
                return false;
            }
        }
    }
    return true;
}

static void
test_a_version_reaches_all(void **state)
{
    (void)state;
    start_all(9);
    assert_true(run_until(all_see_all));
    owners[4].version = 5;
    SasPeer_NoteChange(owners[4].peer);
    assert_true(run_until(all_have_version_5));
    assert_true(owners[0].load_seen > 0);
    finish();
    assert_int_equal(closed_count, 9);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_version_reaches_all),
    };
    signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
