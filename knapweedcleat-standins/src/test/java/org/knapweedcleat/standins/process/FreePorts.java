package org.knapweedcleat.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;

/** Finds ports that are free; a start whose port was taken meanwhile is tried again. */
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
