package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedcleat.standins.process.ClientLoadProcessTest.Listener;

/**
 * Guards against a process that stays up without responding after its heap is exhausted. The
 * command lines have no JVM option for that, since the processes may be started without it.
 */
@Tag("process")
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class OutOfMemoryProcessTest {

  private static final String HEAP = "-Xmx40m";
  private static final String NO_MEMORY_LIMIT = "[listeners]\nmemoryKilobytes = 1000000\n";
  private static final int EXIT_STATUS = 3;
  private static final int CONNECTIONS = 60;

  private LoadedInstance instance;

  @AfterEach
  void killProcess() {
    if (instance != null) {
      instance.kill();
    }
  }

  @Test
  void ownInterfaceExitsWhenBodiesExhaustItsHeap(@TempDir Path folder) {
    instance = LoadedInstance.startOwnInterface(folder, HEAP, NO_MEMORY_LIMIT);
    Await.until("the listeners", () -> instance.servesOrdinaryRequests(false));

    assertExitsOnLoad(Listener.CALLERS, Payloads.partialBody(1_000_000, 1_048_576));
  }

  @Test
  void forwarderExitsWhenPeerFramesExhaustItsHeap(@TempDir Path folder) {
    instance = LoadedInstance.startForwarder(folder, HEAP, NO_MEMORY_LIMIT);
    Await.until("the listeners", () -> instance.servesOrdinaryRequests(true));

    assertExitsOnLoad(Listener.PEERS, Payloads.partialFrame(1_000_000));
  }

  private void assertExitsOnLoad(Listener listener, ClientLoad.Payload payload) {
    try (ClientLoad load = ClientLoad.start(instance.port(listener), CONNECTIONS, payload)) {
      int status = instance.process().awaitExit();
      assertThat("closed " + load.closed(), status, is(EXIT_STATUS));
    }
    assertThat(instance.process().readLog(), containsString("OutOfMemoryError"));
  }
}
