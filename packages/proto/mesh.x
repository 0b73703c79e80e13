/* mesh - UDP datagrams of entry VMs that discover each other at run time:
 * gossip, and reports on backend servers and requests.
 * packages/proto/generate.sh generates include/sas/generated/mesh.h and
 * src/generated/mesh_xdr.c from this file. Every list and string has a bound,
 * so that the decoder never allocates more than that.
 */

const SAS_MESH_FORMAT = 3;
const SAS_MESH_MAX_UPDATES = 24;
const SAS_MESH_MAX_EJECTIONS = 8;
const SAS_MESH_MAX_POISON_REPORTS = 8;
const SAS_MESH_MAX_FAILURE_REPORTS = 8;
const SAS_MESH_MAX_TABLES = 4;
const SAS_MESH_MAX_LOST_PATHS = 8;
const SAS_MESH_MAX_TEXT = 47; /* bytes of a string */

/* Describes the sender; enough for a receiver to add it as a new member. */
struct sas_mesh_vm {
    string name<SAS_MESH_MAX_TEXT>;
    string zone<SAS_MESH_MAX_TEXT>;
    string ip<SAS_MESH_MAX_TEXT>;
    unsigned int caller_port;
    unsigned int peer_port;
    unsigned hyper incarnation;
    unsigned int capacity; /* requests/s */
    unsigned hyper sheet_version; /* highest operators' sheet it knows of */
    /* Newest version that it has of each table that all entry VMs follow. */
    unsigned hyper table_versions<SAS_MESH_MAX_TABLES>;
};

/* Gossip: what the sender knows of an entry VM, itself included. A heartbeat
 * above the suspicion refutes it; 0: not suspected. age_ms is the age of the
 * heartbeat. */
struct sas_mesh_wire_update {
    unsigned hyper name_hash;
    unsigned hyper incarnation;
    unsigned hyper config_version;
    unsigned int heartbeat;
    unsigned int suspicion;
    unsigned int age_ms;
    bool leaving;
};

/* The sender has ejected a backend server for left_ms, because it failed, was
 * unresponsive or is slow; left_ms 0: the server has recovered. */
struct sas_mesh_wire_ejection {
    unsigned hyper server_hash;
    unsigned int left_ms;
    bool refused_connections; /* that is, or was, why it is ejected */
    bool grey; /* no ejection: a grey failure, marked for left_ms */
};

/* A suspected poison request, by its fingerprint: it was running when a
 * backend server crashed. isolated: nothing else ran on that server.
 * completed: it has since run to a complete response; crash and isolated are
 * not used. */
struct sas_mesh_wire_poison_report {
    unsigned hyper high;
    unsigned hyper low;
    unsigned hyper crash;
    bool isolated;
    bool completed;
};

/* Failure report for the prober of a backend server: how many requests of the
 * sender the server failed and answered since the sender's last report. */
struct sas_mesh_wire_failure_report {
    unsigned hyper server_hash;
    unsigned int failed;
    unsigned int answered;
};

/* A crash that the sender knows of, of a suspected poison request. cleared: it
 * was no crash, or the request has run to a complete response since. */
struct sas_mesh_wire_crash_record {
    unsigned hyper high;
    unsigned hyper low;
    unsigned hyper crash;
    bool isolated;
    bool cleared;
    unsigned int age_ms; /* since the last crash of the request */
};

/* Follows the message. An older process that doesn't know it stops reading
 * before it, and sends none. */
struct sas_mesh_trailer {
    unsigned hyper records_digest; /* of all the sender's records; 0: none */
    sas_mesh_wire_crash_record crash_records<SAS_MESH_MAX_POISON_REPORTS>;
};

/* Follows the trailer while the sender reaches no server of some services; an
 * older process stops reading before it. */
struct sas_mesh_lost_paths {
    unsigned hyper service_hashes<SAS_MESH_MAX_LOST_PATHS>; /* of names */
};

/* With a shared key, SasProto_MAC_SIZE bytes of HMAC-SHA-256 over message and
 * trailer end the datagram. */
struct sas_mesh_message {
    unsigned int format;
    unsigned hyper sent_ms; /* wall clock; with a key, old ones are refused */
    bool wants_reply;
    sas_mesh_vm sender;
    sas_mesh_wire_update updates<SAS_MESH_MAX_UPDATES>;
    sas_mesh_wire_ejection ejections<SAS_MESH_MAX_EJECTIONS>;
    sas_mesh_wire_poison_report poison_reports<SAS_MESH_MAX_POISON_REPORTS>;
    sas_mesh_wire_failure_report failure_reports<SAS_MESH_MAX_FAILURE_REPORTS>;
};
