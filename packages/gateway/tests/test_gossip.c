#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "mesh.h"
#include "sas/proto.h"

#define VMS 4
#define SERVER_HASH 12345
#define MAX_TURNS 2000
#define STARTED_AT 1000000000000 /* ms, any */

/* Four entry VMs on one loop: two in zone a and one in b, both of the region
 * east, and one in c of the region west. */
struct fixture {
    uv_loop_t loop;
    struct sas_fleet *fleet;
    GRand *random;
    struct sas_mesh *meshes[VMS];
    struct sas_proto_key *keys[VMS]; /* NULL: none */
    double links_mbps[VMS];          /* 0: 100 */
    struct node {
        struct sas_mesh_listener listener;
        int ejections;
        struct sas_mesh_ejection last_ejection;
        int poison_updates;
        int mismatches;
        int records;
        struct sas_quarantine_entry last_record;
        int failed;
        int answered;
        struct sas_mesh_poison_update last_poison_update;
        struct sas_mesh_table_listener table_listener;
        int64_t changes[2]; /* by table */
        int announcer;      /* its port */
    } nodes[VMS];
};

static void
on_ejection(struct sas_mesh_listener *listener,
            const struct sas_mesh_ejection *update)
{
    struct node *node = (struct node *)listener;
    node->ejections++;
    node->last_ejection = *update;
}

static void
on_poison_update(struct sas_mesh_listener *listener,
                 const struct sas_mesh_poison_update *update)
{
    struct node *node = (struct node *)listener;
    node->poison_updates++;
    node->last_poison_update = *update;
}

static void
on_failure_report(struct sas_mesh_listener *listener,
                  const struct sas_mesh_failure_report *update)
{
    struct node *node = (struct node *)listener;
    node->failed += update->failed;
    node->answered += update->answered;
}

static void
on_digest_mismatch(struct sas_mesh_listener *listener, int i)
{
    (void)i;
    ((struct node *)listener)->mismatches++;
}

static void
on_record(struct sas_mesh_listener *listener,
          const struct sas_quarantine_entry *entry)
{
    struct node *node = (struct node *)listener;
    node->records++;
    node->last_record = *entry;
}

static void
on_change(struct sas_mesh_table_listener *listener, int table, int64_t version,
          const struct sas_address *announcer)
{
    struct node *node = (struct node *)((char *)listener -
                                        offsetof(struct node, table_listener));
    node->changes[table] = version;
    node->announcer = announcer->port;
}

static int
get_region(const struct fixture *f, const char *name)
{
    return SasFleet_FindRegion(f->fleet, name);
}

/* Runs the loop until the condition holds, for 10 s at most. */
#define SPIN_UNTIL(f, condition)                                              \
    do {                                                                      \
        for (int turn = 0; turn < MAX_TURNS && !(condition); turn++) {        \
            uv_run(&(f)->loop, UV_RUN_NOWAIT);                                \
            g_usleep(5000);                                                   \
        }                                                                     \
        assert_true(condition);                                               \
    } while (0)

static bool
all_know_all(const struct fixture *f)
{
    for (int i = 0; i < VMS; i++) {
        if (SasMesh_Count(f->meshes[i]) != VMS) {
            return false;
        }
    }
    return true;
}

static void
open_vm(struct fixture *f, int i, int64_t started_at)
{
    static const char *const zones[VMS] = {"a", "a", "b", "c"};
    struct sas_entry_settings settings = {
        .caller = {"127.0.0.1", 8000 + i},
        .peer = {"127.0.0.1", 0},
        .started_at = started_at,
        .peer_key = f->keys[i],
        .cores = 1,
        .link_mbps = f->links_mbps[i] > 0 ? f->links_mbps[i] : 100,
    };
    g_snprintf(settings.name, sizeof(settings.name), "vm-%d", i);
    g_strlcpy(settings.zone, zones[i], sizeof(settings.zone));
    struct sas_error error = {0};
    f->meshes[i] =
        SasMesh_Open(&f->loop, f->fleet, &settings, f->random, &error);
    assert_non_null(f->meshes[i]);
    f->nodes[i].listener.on_ejection = on_ejection;
    f->nodes[i].listener.on_poison_update = on_poison_update;
    f->nodes[i].listener.on_digest_mismatch = on_digest_mismatch;
    f->nodes[i].listener.on_record = on_record;
    f->nodes[i].listener.on_failure_report = on_failure_report;
    SasMesh_SetListener(f->meshes[i], &f->nodes[i].listener);
    f->nodes[i].table_listener.on_change = on_change;
    SasMesh_SetTableListener(f->meshes[i], &f->nodes[i].table_listener);
}

static struct fixture *
prepare(void)
{
    struct fixture *f = g_new0(struct fixture, 1);
    uv_loop_init(&f->loop);
    f->random = g_rand_new_with_seed(5);
    f->fleet = SasFleet_New();
    SasFleet_AddZone(f->fleet, "a", "east");
    SasFleet_AddZone(f->fleet, "b", "east");
    SasFleet_AddZone(f->fleet, "c", "west");
    return f;
}

static void
open_all(struct fixture *f)
{
    for (int i = 0; i < VMS; i++) {
        open_vm(f, i, STARTED_AT + i);
    }
    /* The last one is given all others, 0 and 1 those with higher numbers. */
    for (int i = 0; i < VMS - 1; i++) {
        SasMesh_AddVm(f->meshes[VMS - 1], SasMesh_GetOwn(f->meshes[i]));
    }
    for (int i = 1; i < VMS - 1; i++) {
        SasMesh_AddVm(f->meshes[0], SasMesh_GetOwn(f->meshes[i]));
    }
    SasMesh_AddVm(f->meshes[1], SasMesh_GetOwn(f->meshes[2]));
}

static struct fixture *
start(void)
{
    struct fixture *f = prepare();
    open_all(f);
    SPIN_UNTIL(f, all_know_all(f));
    return f;
}

static void
stop_meshes(struct fixture *f, struct sas_mesh **meshes, int count)
{
    for (int i = 0; i < count; i++) {
        SasMesh_Close(meshes[i]);
    }
    uv_run(&f->loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&f->loop), 0);
    SasFleet_Free(f->fleet);
    g_rand_free(f->random);
    g_free(f);
}

static void
stop(struct fixture *f)
{
    stop_meshes(f, f->meshes, VMS);
}

static void
stop_all_but(struct fixture *f, int closed)
{
    f->meshes[closed] = f->meshes[VMS - 1];
    stop_meshes(f, f->meshes, VMS - 1);
}

/* Fills in view. Returns the member; -1: there is none of the name. */
static int
find_member(const struct sas_mesh *mesh, const char *name,
            struct sas_mesh_view *view)
{
    for (int i = 0; SasMesh_GetView(mesh, i, view); i++) {
        if (strcmp(view->name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
find_view(const struct sas_mesh *mesh, const char *name,
          struct sas_mesh_view *view)
{
    return find_member(mesh, name, view) >= 0;
}

static void
test_one_leader_per_zone_and_one_prober_per_server(void **state)
{
    (void)state;
    struct fixture *f = start();
    int leaders = 0;
    int probers = 0;
    for (int i = 0; i < VMS; i++) {
        struct sas_address peer;
        leaders += SasMesh_FindLeader(f->meshes[i], &peer) ? 0 : 1;
        bool east = SasMesh_IsOwnRegion(f->meshes[i], get_region(f, "east"));
        bool prober =
            SasMesh_IsProber(f->meshes[i], SERVER_HASH, get_region(f, "east"));
        probers += east && prober ? 1 : 0;
    }
    assert_int_equal(leaders, 3); /* of three zones */
    assert_int_equal(probers, 1);
    stop(f);
}

/* Guards against overload of a cold server by overlapping shares. One of three
 * entry VMs is leaving and still serves callers; if the other two took over
 * its share at once, they would send more than the limit together. */
static void
test_leaving_vm_keeps_its_share(void **state)
{
    (void)state;
    struct fixture *f = start();
    SasMesh_Leave(f->meshes[1]);
    SPIN_UNTIL(f, SasMesh_Count(f->meshes[0]) == VMS - 1 &&
                      SasMesh_Count(f->meshes[2]) == VMS - 1);
    int seen = 0;
    for (int i = 0; i < VMS - 1; i++) {
        struct sas_mesh_senders senders = SasMesh_GetSenders(
            f->meshes[i], SERVER_HASH, get_region(f, "east"));
        assert_int_equal(senders.count, 3);
        seen |= 1 << senders.rank;
    }
    assert_int_equal(seen, 7); /* each rank once */
    /* Lookups leave it out. */
    struct sas_address addresses[4];
    assert_int_equal(SasMesh_Lookup(f->meshes[2], 0, 0, addresses, 4), 1);
    assert_int_equal(addresses[0].port, 8000);
    stop(f);
}

/* Guards against overload of a cold server by overlapping shares: an entry VM
 * that looks dead to the others may be partitioned from them and still reach
 * the server. */
static void
test_dead_vm_keeps_its_share_for_a_while(void **state)
{
    (void)state;
    struct fixture *f = start();
    int region = get_region(f, "east");
    SasMesh_Close(f->meshes[1]);
    struct sas_mesh_view view = {0};
    SPIN_UNTIL(f, find_view(f->meshes[0], "vm-1", &view) &&
                      strcmp(view.state, "gone") == 0);
    assert_int_equal(
        SasMesh_GetSenders(f->meshes[0], SERVER_HASH, region).count, 3);
    assert_int_equal(SasMesh_CountSharers(f->meshes[0], 1000), 0);
    SasMesh_NoteListed(f->meshes[0]);
    assert_int_equal(SasMesh_CountSharers(f->meshes[0], 1000), VMS);
    assert_int_equal(SasMesh_CountSharers(f->meshes[0], 1000000), 0);
    stop_all_but(f, 1);
}

/* Guards against overload of a cold server by overlapping shares: an entry VM
 * that starts must not use its share while the others still use it. */
static void
test_starting_or_frozen_vm_has_no_share(void **state)
{
    (void)state;
    struct fixture *f = prepare();
    int region = get_region(f, "east");
    int64_t began_at = g_get_monotonic_time();
    open_all(f);
    struct sas_mesh *mesh = f->meshes[0];
    assert_false(SasMesh_GetSenders(mesh, SERVER_HASH, region).has_share);
    SasMesh_NoteListed(mesh);
    SPIN_UNTIL(f, SasMesh_GetSenders(mesh, SERVER_HASH, region).has_share);
    assert_true(g_get_monotonic_time() - began_at > G_USEC_PER_SEC);
    /* The same after a freeze. */
    g_usleep(2 * G_USEC_PER_SEC);
    SPIN_UNTIL(f, !SasMesh_GetSenders(mesh, SERVER_HASH, region).has_share);
    stop(f);
}

/* Guards against overload of the link of a zone's last entry VM: all those
 * with a high capacity have stopped, and its callers are sent to the one with
 * a low capacity. */
static void
test_lookup_widens_when_capacity_is_low(void **state)
{
    (void)state;
    struct fixture *f = prepare();
    f->links_mbps[0] = 5;
    open_all(f);
    SPIN_UNTIL(f, all_know_all(f));
    struct sas_address addresses[4];
    assert_int_equal(SasMesh_Lookup(f->meshes[2], 0, 0, addresses, 4), 2);
    assert_int_equal(addresses[0].port, 8001);
    SasMesh_Leave(f->meshes[1]);
    SPIN_UNTIL(f, SasMesh_Count(f->meshes[2]) == VMS - 1);
    assert_int_equal(SasMesh_Lookup(f->meshes[2], 0, 0, addresses, 4), 2);
    assert_int_equal(addresses[0].port, 8002);
    assert_int_equal(addresses[1].port, 8000);
    /* The same in the whole region. */
    SasMesh_Leave(f->meshes[2]);
    SPIN_UNTIL(f, SasMesh_Count(f->meshes[3]) == VMS - 2);
    assert_int_equal(SasMesh_Lookup(f->meshes[3], 0, 0, addresses, 4), 2);
    assert_int_equal(addresses[0].port, 8003);
    stop(f);
}

/* Guards against a flood of datagrams when hundreds of entry VMs notice a slow
 * server at the same time: each reports only to the prober, which reports to
 * all. */
static void
test_ejection_is_reported_to_prober_then_to_all(void **state)
{
    (void)state;
    struct fixture *f = start();
    int region = get_region(f, "east");
    int prober = 0;
    for (int i = 0; i < VMS - 1; i++) {
        if (SasMesh_IsProber(f->meshes[i], SERVER_HASH, region)) {
            prober = i;
        }
    }
    struct sas_mesh_ejection update = {
        .server_hash = SERVER_HASH,
        .left_ms = 1500,
        .refused_connections = true,
    };
    struct sas_mesh_failure_report report = {SERVER_HASH, 1, 7};
    SasMesh_ReportFailures(f->meshes[VMS - 1], &report, region);
    SPIN_UNTIL(f, f->nodes[prober].answered == 7);
    assert_int_equal(f->nodes[prober].failed, 1);
    SasMesh_ReportEjection(f->meshes[VMS - 1], &update, region);
    SPIN_UNTIL(f, f->nodes[prober].ejections == 1);
    int others = 0;
    for (int i = 0; i < VMS; i++) {
        others += i != prober ? f->nodes[i].ejections : 0;
    }
    assert_int_equal(others, 0);
    SasMesh_ReportEjection(f->meshes[prober], &update, region);
    for (int i = 0; i < VMS; i++) {
        SPIN_UNTIL(f, f->nodes[i].ejections == 1);
        assert_int_equal(f->nodes[i].last_ejection.left_ms, 1500);
        assert_true(f->nodes[i].last_ejection.refused_connections);
    }
    stop(f);
}

/* Guards against a poison request that crashes one server through each entry
 * VM. Each of them sees only one crash; the request's coordinator gets all of
 * them and reports to all. */
static void
test_crash_is_reported_to_coordinator_then_to_all(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_mesh_poison_update row = {
        .fingerprint = {3, 4},
        .crash = 5,
        .isolated = true,
    };
    int coordinator = 0;
    int keepers = 0;
    for (int i = 0; i < VMS; i++) {
        if (SasMesh_IsFirst(f->meshes[i], row.fingerprint.low)) {
            coordinator = i;
            keepers++;
        }
    }
    assert_int_equal(keepers, 1);
    SasMesh_ReportPoison(f->meshes[(coordinator + 1) % VMS], &row, 1, false);
    SPIN_UNTIL(f, f->nodes[coordinator].poison_updates == 1);
    assert_int_equal(f->nodes[coordinator].last_poison_update.fingerprint.high,
                     3);
    assert_int_equal(f->nodes[coordinator].last_poison_update.crash, 5);
    assert_true(f->nodes[coordinator].last_poison_update.isolated);
    for (int i = 0; i < VMS; i++) {
        assert_int_equal(f->nodes[i].poison_updates, i == coordinator ? 1 : 0);
    }
    SasMesh_ReportPoison(f->meshes[coordinator], &row, 1, true);
    for (int i = 0; i < VMS; i++) {
        SPIN_UNTIL(f, f->nodes[i].poison_updates == 1);
    }
    stop(f);
}

/* Too many for a message to hold updates of all. */
#define MANY_VMS 130

/* Guards against an entry VM that sends refused requests again, since it has
 * started later or lost the datagram with their crashes. */
static void
test_records_are_sent_until_digests_match(void **state)
{
    (void)state;
    struct fixture *f = start();
    struct sas_quarantine_entry entry = {
        .fingerprint = {3, 4},
        .crashes = {{.id = 5, .isolated = true}, {.id = 6, .cleared = true}},
        .crash_count = 2,
        .crashed_at = 700,
    };
    SasMesh_SetRecordsDigest(f->meshes[0], 9);
    SPIN_UNTIL(f, f->nodes[0].mismatches > 1 && f->nodes[1].mismatches > 0 &&
                      f->nodes[2].mismatches > 0 &&
                      f->nodes[3].mismatches > 0);
    for (int i = 1; i < VMS; i++) {
        SasMesh_SendRecord(f->meshes[0], &entry, i);
        SasMesh_SetRecordsDigest(f->meshes[i], 9);
    }
    for (int i = 1; i < VMS; i++) {
        SPIN_UNTIL(f, f->nodes[i].records > 0);
        const struct sas_quarantine_entry *got = &f->nodes[i].last_record;
        assert_int_equal(got->fingerprint.high, 3);
        assert_int_equal(got->fingerprint.low, 4);
        assert_int_equal(got->crash_count, 2);
        assert_int_equal(got->crashes[0].id, 5);
        assert_true(got->crashes[0].isolated);
        assert_false(got->crashes[0].cleared);
        assert_true(got->crashes[1].cleared);
        assert_int_equal(got->crashed_at, 700);
    }
    stop(f);
}

static int
count_viewers_of_live(struct sas_mesh **meshes, const char *name)
{
    int count = 0;
    for (int i = 0; i < MANY_VMS; i++) {
        struct sas_mesh_view vm;
        for (int j = 1;
             meshes[i] != NULL && SasMesh_GetView(meshes[i], j, &vm); j++) {
            count +=
                strcmp(vm.name, name) == 0 && strcmp(vm.state, "live") == 0;
        }
    }
    return count;
}

/* Guards against lookups that return a dead entry VM for long, whose callers
 * run into timeouts. Among 130 entry VMs one that lost power must be detected
 * within seconds; by the age of its updates alone that took 37 s. */
static void
test_dead_vm_among_many_is_detected_within_seconds(void **state)
{
    (void)state;
    struct fixture *f = prepare();
    static struct sas_mesh *meshes[MANY_VMS];
    struct sas_error error = {0};
    for (int i = 0; i < MANY_VMS; i++) {
        struct sas_entry_settings settings = {
            .caller = {"127.0.0.1", 8000},
            .peer = {"127.0.0.1", 0},
            .zone = "a",
            .started_at = STARTED_AT,
            .cores = 1,
            .link_mbps = 100,
        };
        g_snprintf(settings.name, sizeof(settings.name), "vm-%d", i);
        meshes[i] =
            SasMesh_Open(&f->loop, f->fleet, &settings, f->random, &error);
        assert_non_null(meshes[i]);
        SasMesh_SetListener(meshes[i], &f->nodes[0].listener);
        for (int j = 0; j < i; j++) {
            SasMesh_AddVm(meshes[i], SasMesh_GetOwn(meshes[j]));
        }
    }
    SPIN_UNTIL(f, count_viewers_of_live(meshes, "vm-7") == MANY_VMS - 1);
    SasMesh_Close(meshes[7]);
    meshes[7] = NULL;
    SPIN_UNTIL(f, count_viewers_of_live(meshes, "vm-7") == 0);
    assert_int_equal(count_viewers_of_live(meshes, "vm-8"), MANY_VMS - 2);
    stop_meshes(f, meshes, MANY_VMS);
}

/* Guards against an entry VM that counts as dead for as long as it runs, and
 * gets no callers: it was restarted after its clock was set back, and the
 * previous process had a higher incarnation. */
static void
test_vm_restarted_with_clock_set_back_is_live(void **state)
{
    (void)state;
    struct fixture *f = start();
    SasMesh_Close(f->meshes[1]);
    SPIN_UNTIL(f, SasMesh_Count(f->meshes[0]) == VMS - 1);
    for (int i = 0; i < VMS; i++) {
        if (i != 1) {
            SasMesh_SetRecordsDigest(f->meshes[i], 5);
        }
    }
    open_vm(f, 1, STARTED_AT - 60000);
    for (int i = 0; i < VMS; i++) {
        if (i != 1) {
            SasMesh_AddVm(f->meshes[1], SasMesh_GetOwn(f->meshes[i]));
        }
    }
    SPIN_UNTIL(f, all_know_all(f));
    assert_true(SasMesh_GetOwn(f->meshes[1])->incarnation > STARTED_AT);
    /* It is sent the records that it lacks. */
    SPIN_UNTIL(f, f->nodes[0].mismatches > 0);
    stop(f);
}

static struct sas_proto_key *
make_key(const char *text)
{
    struct sas_error error = {0};
    struct sas_proto_key *key =
        SasProto_NewKey((const uint8_t *)text, strlen(text), &error);
    assert_non_null(key);
    return key;
}

/* Guards against forged messages of a host that reaches the port but has not
 * the key: callers would be sent to it, and servers ejected on its report. */
static void
test_messages_signed_with_another_key_are_ignored(void **state)
{
    (void)state;
    struct fixture *f = prepare();
    for (int i = 0; i < VMS - 1; i++) {
        f->keys[i] = make_key("the key of all entry VMs");
    }
    f->keys[VMS - 1] = make_key("the key of somebody else");
    open_all(f);
    for (int i = 0; i < VMS - 1; i++) {
        SPIN_UNTIL(f, SasMesh_Count(f->meshes[i]) == VMS - 1);
    }
    struct sas_mesh_ejection update = {
        .server_hash = SERVER_HASH,
        .left_ms = 1500,
    };
    int east = get_region(f, "east");
    SasMesh_ReportEjection(f->meshes[VMS - 1], &update, east);
    SasMesh_NoteSheet(f->meshes[0], 5);
    for (int i = 1; i < VMS - 1; i++) {
        SPIN_UNTIL(f, SasMesh_GetSheet(f->meshes[i]) == 5);
    }
    for (int i = 0; i < VMS - 1; i++) {
        assert_int_equal(f->nodes[i].ejections, 0);
        assert_int_equal(SasMesh_Count(f->meshes[i]), VMS - 1);
    }
    assert_int_equal(SasMesh_Count(f->meshes[VMS - 1]), 1);
    assert_int_equal(SasMesh_GetSheet(f->meshes[VMS - 1]), 0);
    struct sas_proto_key *keys[VMS];
    memcpy(keys, f->keys, sizeof(keys));
    stop(f);
    for (int i = 0; i < VMS; i++) {
        SasProto_FreeKey(keys[i]);
    }
}

/* Guards against an entry VM that doesn't notice that its rows are stale,
 * since the store is unresponsive for it alone. */
static void
test_changes_are_announced_to_all(void **state)
{
    (void)state;
    struct fixture *f = start();
    SasMesh_NoteChange(f->meshes[2], 1, 42);
    for (int i = 0; i < VMS; i++) {
        if (i != 2) {
            SPIN_UNTIL(f, f->nodes[i].changes[1] == 42);
            assert_int_equal(f->nodes[i].changes[0], 0);
            assert_int_equal(f->nodes[i].announcer,
                             SasMesh_GetOwn(f->meshes[2])->peer.port);
        }
    }
    /* Changes of others are not passed on: only the announcer of a change can
     * be asked for it. */
    SasMesh_NoteChange(f->meshes[2], 1, 41);
    SasMesh_NoteChange(f->meshes[0], 0, 7);
    SPIN_UNTIL(f, f->nodes[3].changes[0] == 7);
    assert_int_equal(f->nodes[3].changes[1], 42);
    stop(f);
}

static bool
names(struct fixture *f, int from, const int *expected, int count)
{
    struct sas_address addresses[VMS];
    int named = SasMesh_Lookup(f->meshes[from], 0, 0, addresses, VMS);
    bool same = named == count;
    for (int i = 0; same && i < count; i++) {
        same = addresses[i].port == 8000 + expected[i];
    }
    return same;
}

/* Callers of a failure domain whose entry VMs reach no server go on being sent
 * there though others in the region serve them without a detour. */
static void
test_lookups_leave_out_who_reaches_no_server(void **state)
{
    (void)state;
    struct fixture *f = start();
    uint64_t desk = SasMesh_HashService("desk");
    const int both[] = {0, 1};
    const int one[] = {0};
    const int next[] = {2};
    SPIN_UNTIL(f, names(f, 3, both, 2));
    SasMesh_SetLostPaths(f->meshes[1], &desk, 1);
    SPIN_UNTIL(f, names(f, 3, one, 1));
    SPIN_UNTIL(f, names(f, 1, one, 1));
    SasMesh_SetLostPaths(f->meshes[0], &desk, 1);
    SasMesh_SetLostPaths(f->meshes[1], &desk, 1);
    SPIN_UNTIL(f, names(f, 3, next, 1));
    /* None in the region reaches servers: its own ones serve through others.
     */
    for (int i = 0; i < 3; i++) {
        SasMesh_SetLostPaths(f->meshes[i], &desk, 1);
    }
    SPIN_UNTIL(f, names(f, 3, both, 2));
    SasMesh_SetLostPaths(f->meshes[0], NULL, 0);
    SPIN_UNTIL(f, names(f, 3, one, 1));
    SasMesh_SetLostPaths(f->meshes[1], NULL, 0);
    SPIN_UNTIL(f, names(f, 3, both, 2));
    stop(f);
}

static int
count_probers(const struct fixture *f, uint64_t server_hash)
{
    int count = 0;
    for (int i = 0; i < VMS; i++) {
        count +=
            SasMesh_IsProber(f->meshes[i], server_hash, get_region(f, "east"))
                ? 1
                : 0;
    }
    return count;
}

/* A server that has recovered stays ejected since the one entry VM that would
 * probe it for all reaches no server. */
static void
test_who_reaches_no_server_is_no_prober(void **state)
{
    (void)state;
    struct fixture *f = start();
    uint64_t desk = SasMesh_HashService("desk");
    int east = get_region(f, "east");
    uint64_t server = 1;
    while (!SasMesh_IsProber(f->meshes[0], server, east)) {
        server++;
    }
    assert_int_equal(count_probers(f, server), 1);
    SasMesh_SetLostPaths(f->meshes[0], &desk, 1);
    SPIN_UNTIL(f, count_probers(f, server) == 1 &&
                      !SasMesh_IsProber(f->meshes[0], server, east));
    SasMesh_SetLostPaths(f->meshes[0], NULL, 0);
    SPIN_UNTIL(f, count_probers(f, server) == 1 &&
                      SasMesh_IsProber(f->meshes[0], server, east));
    stop(f);
}

/* Guards against an entry VM that is never told, or is told by all at once,
 * that others reach the server that it has reported. */
static void
test_one_other_entry_vm_answers_a_report(void **state)
{
    (void)state;
    struct fixture *f = start();
    const char *regions[] = {"east", "west"};
    for (int r = 0; r < 2; r++) {
        int region = get_region(f, regions[r]);
        for (int reporter = 0; reporter < VMS; reporter++) {
            struct sas_mesh_view own;
            SasMesh_GetView(f->meshes[reporter], 0, &own);
            int answers = 0;
            for (int i = 0; i < VMS; i++) {
                struct sas_mesh_view view;
                int member_id = find_member(f->meshes[i], own.name, &view);
                bool answers_report = SasMesh_AnswersReport(
                    f->meshes[i], SERVER_HASH, region, member_id);
                assert_false(answers_report && i == reporter);
                answers += answers_report ? 1 : 0;
                if (SasMesh_IsProber(f->meshes[i], SERVER_HASH, region) &&
                    i != reporter) {
                    assert_true(answers_report);
                }
            }
            assert_int_equal(answers, 1);
        }
    }
    stop(f);
}

static bool
picks_only(struct fixture *f, int from, int expected)
{
    uint64_t desk = SasMesh_HashService("desk");
    for (int i = 0; i < 20; i++) {
        struct sas_mesh_peer peer = {0};
        if (!SasMesh_PickPeerFor(f->meshes[from], desk, 0, &peer) ||
            peer.name[3] != '0' + expected) {
            return false;
        }
    }
    return true;
}

/* A request that is sent through others that reach no server either is refused
 * though one more entry VM could serve it. */
static void
test_requests_go_through_the_nearest_that_reaches_servers(void **state)
{
    (void)state;
    struct fixture *f = start();
    uint64_t desk = SasMesh_HashService("desk");
    uint64_t other = SasMesh_HashService("other");
    assert_true(picks_only(f, 0, 1));
    SasMesh_SetLostPaths(f->meshes[1], &desk, 1);
    SPIN_UNTIL(f, picks_only(f, 0, 2));
    SasMesh_SetLostPaths(f->meshes[2], &desk, 1);
    SPIN_UNTIL(f, picks_only(f, 0, 3));
    struct sas_mesh_peer peer = {0};
    assert_true(SasMesh_PickPeerFor(f->meshes[0], other, 0, &peer));
    assert_string_equal(peer.name, "vm-1");
    SasMesh_SetLostPaths(f->meshes[1], NULL, 0);
    SPIN_UNTIL(f, picks_only(f, 0, 1));
    uint64_t west = UINT64_C(1) << get_region(f, "west");
    assert_true(SasMesh_PickPeerFor(f->meshes[0], desk, west, &peer));
    assert_string_equal(peer.name, "vm-3");
    SasMesh_AvoidPeer(f->meshes[0], peer.member_id, INT64_MAX);
    assert_false(SasMesh_PickPeerFor(f->meshes[0], desk, west, &peer));
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_leader_per_zone_and_one_prober_per_server),
        cmocka_unit_test(test_leaving_vm_keeps_its_share),
        cmocka_unit_test(test_dead_vm_keeps_its_share_for_a_while),
        cmocka_unit_test(test_starting_or_frozen_vm_has_no_share),
        cmocka_unit_test(test_lookup_widens_when_capacity_is_low),
        cmocka_unit_test(test_ejection_is_reported_to_prober_then_to_all),
        cmocka_unit_test(test_crash_is_reported_to_coordinator_then_to_all),
        cmocka_unit_test(test_records_are_sent_until_digests_match),
        cmocka_unit_test(test_dead_vm_among_many_is_detected_within_seconds),
        cmocka_unit_test(test_vm_restarted_with_clock_set_back_is_live),
        cmocka_unit_test(test_messages_signed_with_another_key_are_ignored),
        cmocka_unit_test(test_changes_are_announced_to_all),
        cmocka_unit_test(test_lookups_leave_out_who_reaches_no_server),
        cmocka_unit_test(test_who_reaches_no_server_is_no_prober),
        cmocka_unit_test(test_one_other_entry_vm_answers_a_report),
        cmocka_unit_test(
            test_requests_go_through_the_nearest_that_reaches_servers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
