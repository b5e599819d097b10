package org.knapweedcleat.core.directory.check;

/** The fields of a published configuration, by their meaning; platforms have their own names. */
public enum ConfigField {
  /** The version number. */
  VERSION,
  /** The list of client accounts, with which calls need a key. */
  ACCOUNTS,
  /** The name of an entry; stands for the entry as a whole. */
  NAME,
  /** The host name of a route. */
  HOST,
  /** The path prefix of a route. */
  PATH_PREFIX,
  /** How the calls of a route may be repeated. */
  CALL_KIND,
  /** Whether a route's streams can be resumed. */
  RESUMABLE,
  /** Whether a route's calls need no key. */
  OPEN,
  /** The maximum time until the complete response. */
  TIMEOUT,
  /** The time within which a response is on time. */
  TARGET,
  /** The longest gap between events that is on time. */
  MAX_GAP,
  /** The number of endpoints that may run one call. */
  MAX_RUNS,
  /** The priority of calls. */
  PRIORITY,
  /** The services of a route with their weights. */
  SHARES,
  /** The regions in which calls may be served. */
  ALLOWED_REGIONS,
  /** The connections that an endpoint accepts. */
  MAX_CONNECTIONS,
  /** The requests that an engine runs concurrently. */
  ENGINE_SLOTS,
  /** The tokens that fit into an engine's memory. */
  ENGINE_MEMORY,
  /** The time for which an engine keeps a prefill result. */
  PREFILL_RETENTION,
  /** The tokens in a stream event. */
  TOKENS_PER_EVENT,
  /** The requests per second that a cold endpoint accepts. */
  COLD_RATE,
  /** How long an endpoint stays cold. */
  COLD_START,
  /** The keys of an account. */
  KEYS,
  /** The units that an account may spend per second. */
  RATE,
  /** The units that an account can accumulate. */
  BURST,
  /** The units charged for a call that does not state its usage. */
  DEFAULT_CALL_UNITS,
  /** The maximum length of a request head. */
  MAX_HEADER_BYTES,
  /** The maximum length of a request body. */
  MAX_BODY_BYTES,
  /** The maximum time for a request head. */
  HEADER_TIMEOUT,
  /** The maximum time that a connection may be idle. */
  IDLE_TIMEOUT
}
