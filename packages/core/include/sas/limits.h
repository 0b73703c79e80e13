/* limits - sizes, timeouts and limits of the core model and of packages/node.
 *
 * Other modules define theirs in their own headers. _MS is milliseconds.
 */
#ifndef SAS_LIMITS_H
#define SAS_LIMITS_H

/* Names and tables. Text sizes are bytes, including the final zero. */
#define SasModel_NAME_SIZE 48
#define SasModel_IP_SIZE 46 /* an IPv4 or IPv6 address as text */
#define SasModel_MAX_REGIONS 16
#define SasModel_MAX_DOMAINS 32 /* failure domains */
#define SasModel_MAX_SERVICES 32
#define SasModel_NONE (-1) /* an index that refers to nothing */

/* Connections to backend servers. A request without an answer for STALL_MS on
 * a reused connection starts a probe on a new one. After a stray answer a
 * server's connections aren't reused for NO_REUSE_MS. */
#define SasUpstream_CONNECT_TIMEOUT_MS 1000
#define SasUpstream_PROBE_TIMEOUT_MS 1000
#define SasUpstream_IDLE_TIMEOUT_MS 30000 /* then an idle one is closed */
#define SasUpstream_STALL_MS 1000
/* interval of the stall and idle checks */
#define SasUpstream_CHECK_INTERVAL_MS 100
#define SasUpstream_NO_REUSE_MS 600000

/* Steering. */
#define SasRouter_SPILL_AFTER_MS 50 /* queue time in the home region */
#define SasRouter_DEFAULT_PLACEMENT "owned-first" /* see sas/placement.h */
#define SasRouter_FIRST_ANSWER_BYTES 16384 /* estimate before any answer */

/* Requests. FIRST_BUFFER_BYTES of an answer are buffered before any byte goes
 * to the caller, so that an answer that breaks off early can be retried. Above
 * HIGH_WATERMARK_BYTES bytes that the caller hasn't read, reading from the
 * backend server pauses, until no more than LOW_WATERMARK_BYTES are left. */
#define SasForward_MAX_DEADLINE_MS 300000
#define SasForward_MAX_ATTEMPTS 3
#define SasForward_FIRST_BUFFER_BYTES 65536
#define SasForward_HIGH_WATERMARK_BYTES 262144
#define SasForward_LOW_WATERMARK_BYTES 65536
#define SasForward_MAX_WAITING 512 /* queued requests of a service */
#define SasCaller_MAX_CONNECTIONS 4096
/* interval of the check for closed callers */
#define SasCaller_CHECK_INTERVAL_MS 50
#define SasCaller_READ_TIMEOUT_MS 30000     /* without a byte */
#define SasCaller_REQUEST_TIMEOUT_MS 300000 /* to receive a whole request */
#define SasCaller_MAX_HEADER_BYTES 32768    /* path and header fields */

#endif
