package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against listeners of an instance that stop responding, or fill the heap, while clients
 * hold connections with incomplete requests. Checks memory, descriptors and one ordinary request
 * afterwards, no times.
 */
@Tag("process")
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class ClientLoadProcessTest {

  private static final String HEAP = "-Xmx64m";
  private static final String OWN_LIMITS =
      """
      [listeners]
      callerConnections = 500
      checkConnections = 100
      peerConnections = 500
      """;
  private static final String FORWARDER_LIMITS =
      """
      [listeners]
      checkConnections = 100
      peerConnections = 500
      """;
  private static final long MAX_RESIDENT_KILOBYTES = 230_000;
  private static final int MAX_DESCRIPTORS = 900;

  @TempDir private Path folder;
  private LoadedInstance instance;

  @AfterEach
  void stop() {
    if (instance != null) {
      instance.kill();
    }
  }

  static Stream<LoadCase> cases() {
    return Stream.of(
        LoadCase.of(
            "callers, short header lines", Listener.CALLERS, 600, Payloads.shortHeaderLines()),
        LoadCase.of("callers, small chunks", Listener.CALLERS, 100, Payloads.smallChunks(20_000)),
        LoadCase.of("callers, large chunks", Listener.CALLERS, 200, Payloads.largeChunks(15)),
        LoadCase.of(
            "callers, short bodies",
            Listener.CALLERS,
            200,
            Payloads.partialBody(1_000_000, 1_048_576)),
        LoadCase.of(
            "callers, far too large, announced",
            Listener.CALLERS,
            40,
            Payloads.partialBody(20_000_000, 50_000_000)),
        LoadCase.of(
            "callers, far too large, only sent", Listener.CALLERS, 40, Payloads.largeChunks(300)),
        LoadCase.of("callers, trailers", Listener.CALLERS, 600, Payloads.endlessTrailers()),
        LoadCase.of("callers, nothing", Listener.CALLERS, 1_500, Payloads.nothing()),
        LoadCase.of(
            "callers, unread responses",
            Listener.CALLERS,
            200,
            Payloads.unreadResponses("/nowhere", 20_000)),
        LoadCase.of(
            "operators, short header lines", Listener.OPERATORS, 600, Payloads.shortHeaderLines()),
        LoadCase.of(
            "operators, unread responses",
            Listener.OPERATORS,
            200,
            Payloads.unreadResponses("/metrics", 2_000)),
        LoadCase.of("operators, nothing", Listener.OPERATORS, 1_500, Payloads.nothing()),
        LoadCase.of("peers, short frames", Listener.PEERS, 200, Payloads.partialFrame(1_000_000)),
        LoadCase.of("peers, nothing", Listener.PEERS, 1_500, Payloads.nothing()));
  }

  static Stream<LoadCase> forwarderCases() {
    return Stream.of(
        LoadCase.of(
            "readiness, short header lines", Listener.READINESS, 600, Payloads.shortHeaderLines()),
        LoadCase.of("readiness, nothing", Listener.READINESS, 1_500, Payloads.nothing()),
        LoadCase.of(
            "metrics, unread responses",
            Listener.METRICS,
            200,
            Payloads.unreadResponses("/metrics", 2_000)),
        LoadCase.of("metrics, trailers", Listener.METRICS, 600, Payloads.endlessTrailers()),
        LoadCase.of("peers, short frames", Listener.PEERS, 200, Payloads.partialFrame(1_000_000)));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void ownInterfaceStaysUp(LoadCase load) {
    instance = LoadedInstance.startOwnInterface(folder, HEAP, OWN_LIMITS);
    assertStaysUp(load, false);
  }

  @ParameterizedTest
  @MethodSource("forwarderCases")
  void forwarderStaysUp(LoadCase load) {
    instance = LoadedInstance.startForwarder(folder, HEAP, FORWARDER_LIMITS);
    assertStaysUp(load, true);
  }

  private void assertStaysUp(LoadCase load, boolean forwarder) {
    Await.until("the listeners", () -> instance.servesOrdinaryRequests(forwarder));
    try (ClientLoad clients =
        ClientLoad.start(instance.port(load.listener()), load.connections(), load.payload())) {
      clients.awaitQuiet();

      Await.until("ordinary requests", () -> instance.servesOrdinaryRequests(forwarder));
      assertThat(
          "resident kilobytes",
          instance.process().residentKilobytes(),
          both(greaterThan(0L)).and(lessThan(MAX_RESIDENT_KILOBYTES)));
      assertThat("descriptors", instance.process().openDescriptors(), lessThan(MAX_DESCRIPTORS));
    }
    instance.process().checkAlive();
  }

  /** The listeners of both kinds of instance. */
  enum Listener {
    CALLERS,
    OPERATORS,
    PEERS,
    READINESS,
    METRICS
  }

  record LoadCase(String name, Listener listener, int connections, ClientLoad.Payload payload) {

    static LoadCase of(
        String name, Listener listener, int connections, ClientLoad.Payload payload) {
      return new LoadCase(name, listener, connections, payload);
    }

    @Override
    public String toString() {
      return name;
    }
  }
}
