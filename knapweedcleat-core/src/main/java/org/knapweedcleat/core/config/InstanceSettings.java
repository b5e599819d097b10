package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * What one instance is told about itself when it starts.
 *
 * @param id the instance's name
 * @param domain the failure domain it stands in
 * @param host the IP number it listens on
 * @param callerPort the TCP port for callers
 * @param operatorPort the TCP port for operators
 * @param peerPort the TCP port for other instances
 * @param platform where the published document is read
 * @param limits how much the instance accepts
 * @param peers the timing between instances
 */
public record InstanceSettings(
    InstanceId id,
    FailureDomainId domain,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort,
    Platform platform,
    Limits limits,
    Peers peers) {

  /**
   * Where the published document is read.
   *
   * @param host the IP number of the configuration service
   * @param port its TCP port
   * @param document the name of the value that holds the document
   * @param watchWaitMillis how long one watch waits for something newer
   */
  public record Platform(String host, int port, String document, int watchWaitMillis) {}

  /**
   * How much the instance accepts.
   *
   * @param maxBodyBytes the longest body of a caller's request
   * @param maxHeaderBytes the longest headers of a caller's request
   * @param maxInFlight how many requests the instance holds at once
   * @param drainTimeoutMillis how long a planned stop waits for running requests
   */
  public record Limits(
      int maxBodyBytes, int maxHeaderBytes, int maxInFlight, int drainTimeoutMillis) {}

  /**
   * The timing between instances.
   *
   * @param heartbeatMillis the time between heartbeats
   * @param heartbeatTimeoutMillis an instance that was silent this long counts as gone
   * @param leaseMillis how long a share of a client account's rate is lent
   * @param listLagMillis how late the platform's list of instances can be
   */
  public record Peers(
      int heartbeatMillis, int heartbeatTimeoutMillis, int leaseMillis, int listLagMillis) {}
}
