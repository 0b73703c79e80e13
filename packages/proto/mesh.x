/* mesh - the datagrams between entry VMs that find each other at run time.
 * packages/proto/generate.sh turns it into include/sas/generated/mesh.h and
 * src/generated/mesh_xdr.c. Every list and text has a bound, so that the
 * decoder never allocates more than that.
 */

const SAS_MESH_FORMAT = 3;
const SAS_MESH_MAX_NEWS = 24;
const SAS_MESH_MAX_TRIPS = 8;
const SAS_MESH_MAX_SUSPECTS = 8;
const SAS_MESH_MAX_LOSSES = 8;
const SAS_MESH_MAX_TABLES = 4;
const SAS_MESH_MAX_TEXT = 47;

/* The sender: enough for a receiver that has never heard of it. */
struct sas_mesh_vm {
    string name<SAS_MESH_MAX_TEXT>;
    string zone<SAS_MESH_MAX_TEXT>;
    string ip<SAS_MESH_MAX_TEXT>;
    unsigned int caller_port;
    unsigned int peer_port;
    unsigned hyper incarnation;
    unsigned int strength; /* requests a second that it can carry */
    unsigned hyper sheet_version; /* the highest that it knows of */
    /* The newest change that it has of each table that all follow. */
    unsigned hyper changes<SAS_MESH_MAX_TABLES>;
};

/* What the sender knows of an entry VM, itself included. */
struct sas_mesh_news {
    unsigned hyper name_hash;
    unsigned hyper incarnation;
    unsigned hyper config_version;
    unsigned int heartbeat;
    unsigned int doubt;
    unsigned int age_ms;
    bool leaving;
};

/* The sender has stopped sending to a backend server for so long, because
 * it failed, fell silent or is slow; 0: it is well again. */
struct sas_mesh_trip {
    unsigned hyper server_hash;
    unsigned int left_ms;
    bool restarted; /* well again, and had not taken connections */
    bool grey;      /* no trip: it fails part of its requests */
};

/* A request, by its fingerprint, was running when a backend server crashed;
 * survived: it has since run to a whole answer, and crash says nothing. */
struct sas_mesh_suspect {
    unsigned hyper high;
    unsigned hyper low;
    unsigned hyper crash;
    bool alone;
    bool survived;
};

/* Requests that a backend server failed for the sender, and those that it
 * answered since the sender's last such row. */
struct sas_mesh_loss {
    unsigned hyper server_hash;
    unsigned int failed;
    unsigned int answered;
};

/* A crash that the sender knows of, of a request that is suspected of several;
 * cleared: it was no crash, or the request has run to a whole answer since. */
struct sas_mesh_record {
    unsigned hyper high;
    unsigned hyper low;
    unsigned hyper crash;
    bool alone;
    bool cleared;
    unsigned int age_ms; /* of the last crash of the request */
};

/* Behind the message; one that doesn't know it stops reading before it. */
struct sas_mesh_trailer {
    unsigned hyper records_digest; /* of all that the sender has; 0: none */
    sas_mesh_record records<SAS_MESH_MAX_SUSPECTS>;
};

/* With a shared key SAS_MESH_MAC_SIZE bytes of HMAC-SHA-256 follow. */
struct sas_mesh_message {
    unsigned int format;
    unsigned hyper sent_ms; /* wall clock; an old one is not taken again */
    bool wants_reply;
    sas_mesh_vm sender;
    sas_mesh_news news<SAS_MESH_MAX_NEWS>;
    sas_mesh_trip trips<SAS_MESH_MAX_TRIPS>;
    sas_mesh_suspect suspects<SAS_MESH_MAX_SUSPECTS>;
    sas_mesh_loss losses<SAS_MESH_MAX_LOSSES>;
};
