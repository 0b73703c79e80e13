/* lookup - maps a caller's address to a region and to entry VMs.
 *
 * An address belongs to the block with the longest matching prefix in the
 * model. An address outside all blocks is treated as its own /24 block with
 * the default home region.
 *
 * A block is assigned to the target with the lowest score -ln(u) / weight,
 * where u in (0, 1) is derived from the xxHash of block and target (weighted
 * rendezvous hashing). All nodes compute the same assignment from the same
 * weights. Raising a target's weight only moves blocks to it, lowering it only
 * moves blocks away from it.
 *
 * Assignments are cached by service and block. SasLookup_Rebuild updates them
 * after a change of weights and recomputes only the home regions whose weights
 * changed, and of their blocks only those that can change owner.
 */
#ifndef SAS_LOOKUP_H
#define SAS_LOOKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/model.h"
#include "sas/plan.h"

#define SasLookup_TTL_MS 20000
#define SasLookup_SHIFTING_TTL_MS 5000
#define SasLookup_JITTER 0.25 /* of the TTL, either way */
#define SasLookup_MAX_TTL_MS 25000

/* What a block can be assigned to: a region, or one site of several in it.
 * At most 65536 in an array. */
struct sas_target {
    uint64_t id; /* the same on all nodes */
    double weight;
};

/* Cached assignment of one service. */
struct sas_lookup_answers {
    uint16_t *owners; /* region by block; NULL before the first Rebuild */
    struct sas_target *targets; /* [home * region_count + region] */
};

/* Blocks are renumbered so that those of one home region are contiguous. */
struct sas_lookup {
    uint32_t *starts; /* disjoint ranges of addresses, sorted */
    int32_t *blocks;  /* their block, or SasModel_NONE */
    int range_count;
    uint32_t *first_ranges; /* by an address's upper 16 bits, 65537 of them */
    uint64_t *keys;         /* hash input, by block */
    int block_count;
    int *home_starts; /* first block by home, region_count + 1 of them */

    int region_count;
    int default_home;
    struct sas_lookup_answers *answers; /* by service */
    int service_count;
};

/* Liveness of an entry VM as one source reports it, with a delay. */
enum sas_vm_liveness {
    SAS_VM_UNKNOWN, /* no report yet */
    SAS_VM_LIVE,
    SAS_VM_DEAD /* answers no peer, or is absent from the platform's list */
};

struct sas_vm_status {
    enum sas_vm_liveness peers;    /* by failure detection among entry VMs */
    enum sas_vm_liveness platform; /* by the platform's list of VMs */
    bool leaving; /* by the sheet, that list or its own report */
};

/* Indexes the model's blocks. SasLookup_Rebuild then assigns them for each
 * service. */
void SasLookup_Init(struct sas_lookup *lookup, const struct sas_model *model);
void SasLookup_Close(struct sas_lookup *lookup);

/* Recomputes a service's assignment after the plan changed. Returns how many
 * blocks moved (all of them on the first call). */
int SasLookup_Rebuild(struct sas_lookup *lookup, const struct sas_model *model,
                      const struct sas_plan *plan, int service);

/* Returns the region for a caller's address (host byte order), or
 * SasModel_NONE before the first Rebuild of the service. */
int SasLookup_FindRegion(const struct sas_lookup *lookup, int service,
                         uint32_t ipv4);

/* The home region of the caller's block. */
int SasLookup_FindHomeRegion(const struct sas_lookup *lookup, uint32_t ipv4);

/* Fills in the entry VMs for a caller in a region, best first, at most max of
 * them; views is indexed by VM. VMs that peers report dead, or that are
 * unknown to peers and absent from the platform's list, come last. Within
 * both groups the region's own VMs come first, then the less suspected, then
 * an order that varies by block to spread the load. A VM that both sources
 * report dead, or that is leaving, is left out, unless that applies to all:
 * then the least suspected stay. Returns the number of VMs, 0 only when the
 * model has none. */
int SasLookup_OrderVms(const struct sas_lookup *lookup,
                       const struct sas_model *model, int region,
                       uint32_t ipv4, const struct sas_vm_status *statuses,
                       int *vms, int max);

/* Returns the TTL of an answer in ms: how long a caller may cache it, never
 * above SasLookup_MAX_TTL_MS. Short while a shift from the home region is
 * under way. random in [0, 1) gives the jitter. */
int64_t SasLookup_ChooseTtl(const struct sas_plan *plan, int service, int home,
                            double random);

/* Returns the index of the target that a key is assigned to. At least one
 * target needs a weight above 0. */
int SasLookup_ChooseTarget(uint64_t key, const struct sas_target *targets,
                           int target_count);

/* SasLookup_ChooseTarget for an array of keys. */
void SasLookup_Assign(const uint64_t *keys, int count,
                      const struct sas_target *targets, int target_count,
                      uint16_t *owners);

/* Updates owners from old_targets to targets (same ids in the same order).
 * The result equals that of SasLookup_Assign, with fewer hashes. Returns how
 * many keys moved. */
int SasLookup_Reassign(const uint64_t *keys, int count,
                       const struct sas_target *old_targets,
                       const struct sas_target *targets, int target_count,
                       uint16_t *owners);

#endif
