#include "sas/placement.h"

#include <math.h>
#include <string.h>

#include "sas/model.h"

#define COLD_WEIGHT 2.0 /* cost factor of a cold server's requests */
#define LOCAL_BONUS 1.0 /* ranks a local server with a free slot first */

struct policy_state {
    struct sas_placement_policy policy;
    int next; /* next index of round-robin */
    double *loads;
    int capacity; /* number of elements in loads */
};

static int pick_random(struct sas_placement_policy *self,
                       const struct sas_placement_server *servers, int count,
                       GRand *random);
static int pick_round_robin(struct sas_placement_policy *self,
                            const struct sas_placement_server *servers,
                            int count, GRand *random);
static int pick_least_in_flight(struct sas_placement_policy *self,
                                const struct sas_placement_server *servers,
                                int count, GRand *random);
static int pick_two_choices(struct sas_placement_policy *self,
                            const struct sas_placement_server *servers,
                            int count, GRand *random);
static int pick_least_load(struct sas_placement_policy *self,
                           const struct sas_placement_server *servers,
                           int count, GRand *random);
static int pick_owned(struct sas_placement_policy *self,
                      const struct sas_placement_server *servers, int count,
                      GRand *random);
static int pick_owned_first(struct sas_placement_policy *self,
                            const struct sas_placement_server *servers,
                            int count, GRand *random);
static int pick_cone(struct sas_placement_policy *self,
                     const struct sas_placement_server *servers, int count,
                     GRand *random);
static double *estimate_loads(struct sas_placement_policy *self,
                              const struct sas_placement_server *servers,
                              int count);
/* Cost functions: the server with the lowest cost is picked; INFINITY excludes
 * a server. "Local" means in this entry VM's failure domain. */
static double cost_any(const struct sas_placement_server *server, double load);
static double cost_in_flight(const struct sas_placement_server *server,
                             double load);
static double cost_load(const struct sas_placement_server *server,
                        double load);
static double cost_local_load(const struct sas_placement_server *server,
                              double load);
static double cost_local_slot(const struct sas_placement_server *server,
                              double load);
static double cost_idle_slot(const struct sas_placement_server *server,
                             double load);
static double cost_owned(const struct sas_placement_server *server,
                         double load);
static bool has_local_slot(const struct sas_placement_server *server,
                           double load);
static int pick_cheapest(const struct sas_placement_server *servers,
                         const double *loads, int count, GRand *random,
                         double (*cost)(const struct sas_placement_server *,
                                        double));
static bool is_in_cone(const struct sas_placement_server *servers,
                       const double *loads, int count);

static const struct {
    const char *name;
    int (*pick)(struct sas_placement_policy *,
                const struct sas_placement_server *, int, GRand *);
} policies[] = {
    {"random", pick_random},
    {"round-robin", pick_round_robin},
    {"least-in-flight", pick_least_in_flight},
    {"two-choices", pick_two_choices},
    {"least-load", pick_least_load},
    {"owned", pick_owned},
    {"owned-first", pick_owned_first},
    {"cone", pick_cone},
};

struct sas_placement_policy *
SasPlacement_Create(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            struct policy_state *state = g_new0(struct policy_state, 1);
            state->policy.pick = policies[i].pick;
            return &state->policy;
        }
    }
    return NULL;
}

void
SasPlacement_Free(struct sas_placement_policy *policy)
{
    if (policy != NULL) {
        g_free(((struct policy_state *)policy)->loads);
        g_free(policy);
    }
}

const char *
SasPlacement_GetName(int i)
{
    return i < (int)G_N_ELEMENTS(policies) ? policies[i].name : NULL;
}

/* Own requests are exact, so they always count in full; only the reports and
 * their mean, which lag, are weighted by age. */
void
SasPlacement_EstimateLoads(const struct sas_placement_server *servers,
                           int count, double *loads)
{
    double weights = 0;
    double weighted = 0;
    for (int i = 0; i < count; i++) {
        const struct sas_placement_server *server = &servers[i];
        loads[i] = server->report_age_ms < 0
                       ? 0
                       : exp2(-(double)server->report_age_ms /
                              SasPlacement_HALF_LIFE_MS);
        weights += loads[i] * server->slots;
        weighted += loads[i] * server->reported_load;
    }
    double mean_per_slot = weights > 0 ? weighted / weights : 0;
    for (int i = 0; i < count; i++) {
        const struct sas_placement_server *server = &servers[i];
        double weight = loads[i];
        loads[i] = server->own_in_flight + weight * server->reported_load +
                   (1 - weight) * mean_per_slot * server->slots;
    }
}

static int
pick_random(struct sas_placement_policy *self,
            const struct sas_placement_server *servers, int count,
            GRand *random)
{
    (void)self;
    return pick_cheapest(servers, NULL, count, random, cost_any);
}

static int
pick_round_robin(struct sas_placement_policy *self,
                 const struct sas_placement_server *servers, int count,
                 GRand *random)
{
    (void)random;
    struct policy_state *state = (struct policy_state *)self;
    for (int tried = 0; tried < count; tried++) {
        int i = state->next++ % count;
        state->next %= count;
        if (isfinite(cost_any(&servers[i], 0))) {
            return i;
        }
    }
    return SasModel_NONE;
}

static int
pick_least_in_flight(struct sas_placement_policy *self,
                     const struct sas_placement_server *servers, int count,
                     GRand *random)
{
    (void)self;
    return pick_cheapest(servers, NULL, count, random, cost_in_flight);
}

/* Falls back to all servers when neither of the two has free capacity, so that
 * SasModel_NONE means that no server has any. */
static int
pick_two_choices(struct sas_placement_policy *self,
                 const struct sas_placement_server *servers, int count,
                 GRand *random)
{
    double *loads = estimate_loads(self, servers, count);
    if (count >= 2) {
        int a = g_rand_int_range(random, 0, count);
        int b = (a + g_rand_int_range(random, 1, count)) % count;
        double cost_a = cost_load(&servers[a], loads[a]);
        double cost_b = cost_load(&servers[b], loads[b]);
        if (isfinite(fmin(cost_a, cost_b))) {
            return cost_a <= cost_b ? a : b;
        }
    }
    return pick_least_load(self, servers, count, random);
}

static int
pick_least_load(struct sas_placement_policy *self,
                const struct sas_placement_server *servers, int count,
                GRand *random)
{
    double *loads = estimate_loads(self, servers, count);
    return pick_cheapest(servers, loads, count, random, cost_load);
}

static int
pick_owned(struct sas_placement_policy *self,
           const struct sas_placement_server *servers, int count,
           GRand *random)
{
    double *loads = estimate_loads(self, servers, count);
    return pick_cheapest(servers, loads, count, random, cost_owned);
}

static int
pick_owned_first(struct sas_placement_policy *self,
                 const struct sas_placement_server *servers, int count,
                 GRand *random)
{
    double *loads = estimate_loads(self, servers, count);
    int owned = pick_cheapest(servers, loads, count, random, cost_owned);
    return owned != SasModel_NONE
               ? owned
               : pick_cheapest(servers, loads, count, random, cost_idle_slot);
}

/* A local server with a free slot needs no waiting. Without one, any choice
 * inside the cone is delay-optimal in heavy traffic, so a local server is
 * picked; outside the cone only the shortest queue is optimal. */
static int
pick_cone(struct sas_placement_policy *self,
          const struct sas_placement_server *servers, int count, GRand *random)
{
    double *loads = estimate_loads(self, servers, count);
    int picked = pick_cheapest(servers, loads, count, random, cost_local_slot);
    if (picked == SasModel_NONE && is_in_cone(servers, loads, count)) {
        picked = pick_cheapest(servers, loads, count, random, cost_local_load);
    }
    return picked != SasModel_NONE
               ? picked
               : pick_cheapest(servers, loads, count, random, cost_load);
}

static double *
estimate_loads(struct sas_placement_policy *self,
               const struct sas_placement_server *servers, int count)
{
    struct policy_state *state = (struct policy_state *)self;
    if (count > state->capacity) {
        state->loads = g_renew(double, state->loads, count);
        state->capacity = count;
    }
    SasPlacement_EstimateLoads(servers, count, state->loads);
    return state->loads;
}

/* Breaks ties at random with equal probability. */
static int
pick_cheapest(const struct sas_placement_server *servers, const double *loads,
              int count, GRand *random,
              double (*cost)(const struct sas_placement_server *, double))
{
    int best = SasModel_NONE;
    double best_cost = INFINITY;
    int tied = 0;
    for (int i = 0; i < count; i++) {
        double current = cost(&servers[i], loads == NULL ? 0 : loads[i]);
        if (current < best_cost) {
            best = i;
            best_cost = current;
            tied = 1;
        }
        else if (isfinite(current) && current == best_cost &&
                 g_rand_int_range(random, 0, ++tied) == 0) {
            best = i;
        }
    }
    return best;
}

static double
cost_any(const struct sas_placement_server *server, double load)
{
    (void)load;
    bool has_room = server->eligible &&
                    server->own_in_flight < server->slots + server->queue;
    return has_room ? 0 : INFINITY;
}

static double
cost_in_flight(const struct sas_placement_server *server, double load)
{
    (void)load;
    return cost_any(server, 0) + (double)server->own_in_flight / server->slots;
}

/* A cold server's requests take longer, so each of them counts for more. */
static double
cost_load(const struct sas_placement_server *server, double load)
{
    if (!server->eligible || load >= server->slots + server->queue) {
        return INFINITY;
    }
    return load * (server->cold ? COLD_WEIGHT : 1) / server->slots;
}

static double
cost_local_load(const struct sas_placement_server *server, double load)
{
    return server->same_domain ? cost_load(server, load) : INFINITY;
}

static double
cost_local_slot(const struct sas_placement_server *server, double load)
{
    return has_local_slot(server, load) ? cost_local_load(server, load)
                                        : INFINITY;
}

/* Allows at most one request to wait ahead of this one: by the time it arrives
 * a slot is likely to be free. A server that reports less load than it has
 * would attract all borrowing and refuse it again and again. Its 503 is the
 * only sign of that, so a shed request stops borrowing for a while. */
static double
cost_idle_slot(const struct sas_placement_server *server, double load)
{
    int max_load = server->slots + MIN(1, server->queue);
    bool is_idle = load + 1 <= max_load && !server->shed_recently;
    return is_idle ? cost_load(server, load) : INFINITY;
}

/* Excludes cold servers: being slow outweighs being local. */
static bool
has_local_slot(const struct sas_placement_server *server, double load)
{
    return server->same_domain && !server->cold && load + 1 <= server->slots;
}

static double
cost_owned(const struct sas_placement_server *server, double load)
{
    if (!server->eligible || server->own_in_flight >= server->owned_slots) {
        return INFINITY;
    }
    double cost = load * (server->cold ? COLD_WEIGHT : 1) / server->slots;
    return has_local_slot(server, load) ? cost - LOCAL_BONUS : cost;
}

static bool
is_in_cone(const struct sas_placement_server *servers, const double *loads,
           int count)
{
    double shortest = INFINITY;
    double longest = 0;
    for (int i = 0; i < count; i++) {
        if (servers[i].eligible) {
            shortest = fmin(shortest, loads[i] / servers[i].slots);
            longest = fmax(longest, loads[i] / servers[i].slots);
        }
    }
    return shortest >= SasPlacement_CONE * longest;
}
