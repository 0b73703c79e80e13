/* peer_rpc - calls between the entry VMs of a fixed fleet (ONC RPC, RFC 5531).
 * packages/proto/generate.sh generates include/sas/generated/peer_rpc.h and
 * src/generated/peer_rpc_xdr.c from this file. Every list has a bound, so
 * that the decoder never allocates more than that.
 *
 * A member id is the index of an entry VM in the settings.
 */

const SAS_RPC_NONCE_SIZE = 16;
const SAS_RPC_MAX_MEMBERS = 256;
const SAS_RPC_MAX_BUDGETS = 512;
const SAS_RPC_MAX_LOADS = 512;
const SAS_RPC_MAX_SHARES = 128;
const SAS_RPC_MAX_QUARANTINES = 128;
const SAS_RPC_MAX_CRASHES = 8;
const SAS_RPC_MAX_BACKENDS = 512;
const SAS_RPC_MAX_CONFIG = 229376;

/* Sender and receiver; the verifier of every call and reply holds it. The
 * receiver's incarnation is 0 only in a HELLO call, which doesn't know it. */
struct sas_rpc_identity {
    unsigned int sender;
    unsigned hyper sender_incarnation;
    unsigned int receiver;
    unsigned hyper receiver_incarnation;
};

/* First call on every connection; each side sends a nonce of its own. */
struct sas_rpc_hello {
    opaque nonce[SAS_RPC_NONCE_SIZE];
};

enum sas_rpc_state {
    SAS_RPC_LIVE = 0,
    SAS_RPC_LEAVING = 1
};

/* What the sender knows of a member, itself included. A heartbeat above the
 * suspicion refutes it; 0: not suspected. age_ms is the age of the heartbeat.
 */
struct sas_rpc_member {
    unsigned int member_id;
    sas_rpc_state state;
    unsigned hyper incarnation;
    unsigned hyper config_version;
    unsigned int heartbeat;
    unsigned int suspicion;
    unsigned int age_ms;
};

struct sas_rpc_budget {
    unsigned hyper id;
    unsigned hyper lendable; /* units that the sender could lend: a hint */
    hyper epoch; /* of its floors, as announced; -1 while recovering */
};

/* Last reported load of a backend server; the incarnation is hashed. */
struct sas_rpc_load {
    unsigned int backend;
    unsigned int running;
    unsigned int queued;
    unsigned int age_ms;
    bool leaving;
    unsigned hyper incarnation;
};

/* isolated: nothing else ran on the server. cleared: it was no crash, or the
 * request has run to a complete response since. */
struct sas_rpc_crash {
    unsigned hyper id;
    bool isolated;
    bool cleared;
};

/* A suspected poison request, by its fingerprint. Times are remaining ms: of
 * the entry, and of an isolated run. */
struct sas_rpc_quarantine {
    unsigned hyper high;
    unsigned hyper low;
    sas_rpc_crash crashes<SAS_RPC_MAX_CRASHES>;
    unsigned int left_ms;
    unsigned int isolated_ms;
};

/* Share of a shift that the sender has in force, in millionths. */
struct sas_rpc_share {
    unsigned int service;
    unsigned int from;
    unsigned int to;
    unsigned int millionths;
};

struct sas_rpc_gossip {
    unsigned int member_id;
    unsigned hyper incarnation;
    sas_rpc_state state;
    unsigned hyper config_version;
    sas_rpc_budget budgets<SAS_RPC_MAX_BUDGETS>;
    sas_rpc_load loads<SAS_RPC_MAX_LOADS>;
    sas_rpc_share shares<SAS_RPC_MAX_SHARES>;
    unsigned hyper quarantine_digest;
    sas_rpc_quarantine quarantines<SAS_RPC_MAX_QUARANTINES>;
    sas_rpc_member members<SAS_RPC_MAX_MEMBERS>;
};

struct sas_rpc_fetch {
    unsigned hyper have_version;
};

/* config_version 0: nothing newer than have_version. bytes is the whole
 * configuration as JSON. base is reserved for deltas and always 0. */
struct sas_rpc_config {
    unsigned hyper config_version;
    unsigned hyper base;
    opaque bytes<SAS_RPC_MAX_CONFIG>;
};

/* renewal 0: asks for a new loan of up to the wanted units. Otherwise it is
 * the sequence number of a renewal, and wanted the units left of the loan. */
struct sas_rpc_borrow {
    unsigned hyper budget;
    unsigned hyper epoch;
    unsigned hyper loan;
    unsigned hyper wanted;
    unsigned int renewal;
};

struct sas_rpc_grant {
    unsigned hyper loan;
    unsigned hyper granted; /* units; of a renewal 1 or 0 */
};

struct sas_rpc_loan_return {
    unsigned hyper budget;
    unsigned hyper epoch;
    unsigned hyper loan;
    unsigned hyper units;
};

/* A lender that recovers after a restart sends its budgets. The reply has the
 * rows of those of which the receiver holds no loan of the lender's earlier
 * process. */
struct sas_rpc_disown {
    unsigned hyper budget;
    unsigned int incarnation;
};

struct sas_rpc_disown_list {
    sas_rpc_disown rows<SAS_RPC_MAX_BUDGETS>;
};

struct sas_rpc_quarantine_list {
    sas_rpc_quarantine entries<SAS_RPC_MAX_QUARANTINES>;
};

struct sas_rpc_leaving_backend {
    unsigned int backend;
    unsigned hyper incarnation;
};

/* The member that is leaving, or SAS_RPC_NO_MEMBER, and the backend servers
 * that are leaving. */
const SAS_RPC_NO_MEMBER = 0xffffffff;

struct sas_rpc_leaving {
    unsigned int member_id;
    unsigned hyper incarnation;
    sas_rpc_leaving_backend backends<SAS_RPC_MAX_BACKENDS>;
};

program SAS_RPC_PROGRAM {
    version SAS_RPC_VERSION {
        sas_rpc_hello SAS_RPC_HELLO(sas_rpc_hello) = 1;
        sas_rpc_gossip SAS_RPC_GOSSIP(sas_rpc_gossip) = 2;
        sas_rpc_config SAS_RPC_FETCH_CONFIG(sas_rpc_fetch) = 3;
        sas_rpc_grant SAS_RPC_BORROW(sas_rpc_borrow) = 4;
        void SAS_RPC_RETURN(sas_rpc_loan_return) = 5;
        void SAS_RPC_QUARANTINE(sas_rpc_quarantine_list) = 6;
        void SAS_RPC_LEAVE(sas_rpc_leaving) = 7;
        sas_rpc_disown_list SAS_RPC_DISOWN(sas_rpc_disown_list) = 8;
    } = 1;
} = 0x20534153;
