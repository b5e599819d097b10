package org.knapweedcleat.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class InstanceCommandsTest {

  private static final String CLOSED_ADDRESS = "127.0.0.1:1";

  private final Vertx vertx = Vertx.vertx();
  private final RecordingConsole console = RecordingConsole.create();
  private final FakeInstance first = FakeInstance.start(vertx, "a-1", 7, "READY");

  @AfterEach
  void stop() {
    vertx.close().await();
  }

  @Test
  void reportsNoProblemsForHealthyInstances() {
    assertThat(console.run("status", first.address(), first.address()), is(ExitCode.OK));
    assertThat(console.out(), containsString("nothing is wrong"));
  }

  @Test
  void reportsProblemsBetweenInstances() {
    FakeInstance second = FakeInstance.start(vertx, "a-2", 6, "JOINING");

    ExitCode code = console.run("status", first.address(), second.address(), CLOSED_ADDRESS);

    assertThat(code, is(ExitCode.FOUND));
    assertThat(console.out(), containsString("(a-2) takes no requests: it is JOINING"));
    assertThat(
        console.out(),
        containsString(
            "instances differ: revision 6 at "
                + second.address()
                + "; revision 7 at "
                + first.address()));
    assertThat(console.out(), containsString(CLOSED_ADDRESS + " refuses connections"));
  }

  @Test
  void failsWhenNoInstanceAnswers() {
    assertThat(console.run("status", CLOSED_ADDRESS), is(ExitCode.FAILED));
    assertThat(console.run("audit", CLOSED_ADDRESS), is(ExitCode.FAILED));
    assertThat(console.run("drain", CLOSED_ADDRESS), is(ExitCode.FAILED));
    assertThat(console.run("drain", "localhost:8081"), is(ExitCode.FAILED));
    assertThat(console.err(), containsString("give an IP address"));
  }

  @Test
  void readsAllPagesOfTheAuditTrail() {
    assertThat(console.run("audit", first.address(), "--after", "2"), is(ExitCode.OK));
    assertThat(
        console.out().lines().map(line -> line.substring(0, 1)).toList(),
        is(java.util.List.of("3", "4", "5")));
    assertThat(console.run("audit", first.address()), is(ExitCode.FOUND));
    assertThat(console.err(), containsString("2 earlier events are no longer kept"));
  }

  @Test
  void waitsForPlannedStopToEnd() {
    assertThat(console.run("drain", first.address(), "--wait"), is(ExitCode.OK));
    assertThat(console.out(), containsString("3 requests still run"));
    assertThat(console.out(), containsString("stopped"));
  }
}
