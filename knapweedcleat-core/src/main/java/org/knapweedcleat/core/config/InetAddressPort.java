package org.knapweedcleat.core.config;

/**
 * Where a process listens.
 *
 * @param host its IP number
 * @param port its TCP port
 */
public record InetAddressPort(String host, int port) {

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
