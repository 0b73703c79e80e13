/* limits - every fixed size, time and share of the system, in one place.
 *
 * Times are milliseconds unless the name says otherwise.
 */
#ifndef SAS_LIMITS_H
#define SAS_LIMITS_H

/* Sizes of names and tables. */
#define SasModel_NAME_SIZE 48
#define SasModel_IP_SIZE 46
#define SasModel_MAX_REGIONS 16
#define SasModel_MAX_DOMAINS 32
#define SasModel_MAX_SERVICES 32
#define SasModel_NONE (-1)

/* Connections to backend servers. */
#define SasUpstream_CONNECT_TIMEOUT_MS 1000
#define SasUpstream_PROBE_TIMEOUT_MS 1000
#define SasUpstream_IDLE_LIMIT_MS 30000
#define SasUpstream_STALL_MS 1000
#define SasUpstream_SWEEP_MS 100
#define SasUpstream_NO_REUSE_MS 600000

/* Steering. */
#define SasSteer_SPILL_AFTER_MS 50
#define SasSteer_DEFAULT_PLACEMENT "owned-first"
#define SasSteer_FIRST_ANSWER_BYTES 16384

/* Requests. */
#define SasForward_MAX_DEADLINE_MS 300000
#define SasForward_MAX_ATTEMPTS 3
#define SasForward_HOLD_BYTES 65536
#define SasForward_PENDING_HIGH 262144
#define SasForward_PENDING_LOW 65536
#define SasForward_MAX_WAITING 512
#define SasCaller_MAX_CONNECTIONS 4096
#define SasCaller_SWEEP_MS 50
#define SasCaller_READ_TIMEOUT_MS 30000 /* without a byte */
#define SasCaller_ARRIVAL_LIMIT_MS 300000
#define SasCaller_MAX_HEADER_BYTES 32768

#endif
