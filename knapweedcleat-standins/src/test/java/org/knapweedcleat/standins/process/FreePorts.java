package org.knapweedcleat.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;

/** Finds free ports. Another process may take one before use, so that starts must be retried. */
final class FreePorts {

  private FreePorts() {}

  static int find() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
