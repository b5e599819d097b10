package org.knapweedcleat.cli;

import io.vavr.control.Option;
import org.knapweedcleat.core.config.ValueRules;

/**
 * The address of the operator port of an instance.
 *
 * @param host the IP address
 * @param port the TCP port
 */
record OperatorAddress(String host, int port) {

  static OperatorAddress parse(String text) throws CliException {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw CliException.of(CliFault.ADDRESS, text);
    }
    String host = text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
    Option<String> ip = ValueRules.ipAddress().parse(host);
    Option<Integer> port = ValueRules.port().parse(text.substring(colon + 1));
    if (ip.isEmpty() || port.isEmpty()) {
      throw CliException.of(CliFault.ADDRESS, text);
    }
    return new OperatorAddress(ip.get(), port.get());
  }

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
