package org.knapweedcleat.core.config;

/**
 * An IP address and TCP port at which a process listens.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record InetAddressPort(String host, int port) {

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
