package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Startup settings of an instance.
 *
 * @param id the name of the instance
 * @param domain the failure domain in which it runs
 * @param host the IP address it listens on
 * @param callerPort the TCP port for callers
 * @param operatorPort the TCP port for operators
 * @param peerPort the TCP port for other instances
 * @param listedPeerPort the peer port that the platform lists; differs behind a port mapping
 * @param platform where to read the published document
 * @param limits limits on requests and shutdown
 * @param peers the timing between instances
 * @param callerConnections the maximum number of callers' connections
 * @param listeners limits of the listeners
 */
public record InstanceSettings(
    InstanceId id,
    FailureDomainId domain,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort,
    int listedPeerPort,
    Platform platform,
    Limits limits,
    Peers peers,
    int callerConnections,
    ListenerSettings listeners) {

  /**
   * Where to read the published document.
   *
   * @param host the IP address of the configuration service
   * @param port its TCP port
   * @param document the name of the value that holds the document
   * @param watchWaitMillis how long a watch request waits for a newer value
   */
  public record Platform(String host, int port, String document, int watchWaitMillis) {}

  /**
   * Limits on requests and shutdown.
   *
   * @param maxBodyBytes the maximum size of a request body
   * @param maxHeaderBytes the maximum size of the request headers
   * @param maxInFlight the maximum number of concurrent requests
   * @param drainTimeoutMillis how long a planned stop waits for running requests
   */
  public record Limits(
      int maxBodyBytes, int maxHeaderBytes, int maxInFlight, int drainTimeoutMillis) {}

  /**
   * The timing between instances.
   *
   * @param heartbeatMillis the heartbeat interval
   * @param heartbeatTimeoutMillis the silence after which an instance is considered gone
   * @param leaseMillis the lease duration of a share of a client account's rate
   * @param listLagMillis the maximum staleness of the platform's list of instances
   */
  public record Peers(
      int heartbeatMillis, int heartbeatTimeoutMillis, int leaseMillis, int listLagMillis) {}
}
