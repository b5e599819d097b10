package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedAnswer;

class ConfigurationProcessTest extends ProcessTest {

  private static final List<String> INSTANCES = List.of("a1", "a2", "b1", "b2");
  private static final int VERY_LONG_ANSWER = 5_000;

  @AfterEach
  void restorePlatform() {
    deployment().platform("outage?on=false");
    deployment().platform("stale");
    deployment().awaitRevision(deployment().publish(deployment().fleet().text()));
  }

  @Test
  void withdrawnKeyStopsStreamsAndNewRequestsEverywhere() {
    StreamRequest request =
        StreamRequest.of("/notes", Deployment.OTHER_KEY, "withdrawn", VERY_LONG_ANSWER);
    final Running running = start("a1", request);
    final Running staying = start("a1", note("stays", 200));

    long revision = deployment().publish(deployment().fleet().withoutKey(Deployment.OTHER_KEY));
    StreamedAnswer cut = Await.result(running.answer());
    deployment().awaitRevision(revision);

    assertThat(cut.error().error(), is("KEY_WITHDRAWN"));
    assertThat(Await.result(staying.answer()).isWhole(), is(true));
    for (String instance : INSTANCES) {
      assertThat(Await.result(deployment().send(instance, request)).status(), is(401));
    }
    deployment().awaitNoMemoryHeld();
  }

  @Test
  void configurationStaysInForceWhileThePlatformIsDownOrStale() {
    final long old = deployment().instance("a1").revision();
    long revision = deployment().publish(deployment().fleet().withoutKey(Deployment.OTHER_KEY));
    deployment().awaitRevision(revision);

    deployment().platform("outage?on=true");
    assertAllAt(revision);
    deployment().platform("stale?revision=" + old);
    deployment().platform("outage?on=false");
    deployment().instance("a1").proc().kill();
    deployment().restartInstance("a1");

    assertAllAt(revision);
    StreamRequest withdrawn = StreamRequest.of("/notes", Deployment.OTHER_KEY, "stale", 4);
    for (String instance : INSTANCES) {
      assertThat(Await.result(deployment().send(instance, withdrawn)).status(), is(401));
    }
  }

  @Test
  void documentThatDoesNotCheckChangesNothing() {
    final long before = deployment().instance("b1").revision();

    deployment().publish("[service broken]\nteam = office\npool = nowhere\n");
    Await.pause(1_000);
    StreamedAnswer answer = Await.result(deployment().send("b1", note("still served", 20)));

    assertThat(answer.isWhole(), is(true));
    assertThat(deployment().instance("b1").revision(), is(before));
  }

  @Test
  void leavingEndpointsGetNothingNew() {
    deployment().awaitRevision(deployment().publish(deployment().fleet().leaving("da1")));
    JsonObject before = deployment().engine("da1").getJsonObject("calls");

    for (int i = 0; i < 20; i++) {
      String instance = INSTANCES.get(i % INSTANCES.size());
      StreamedAnswer answer = Await.result(deployment().send(instance, note("leaving " + i, 10)));
      assertThat(answer.isWhole(), is(true));
    }

    assertThat(
        reservations(deployment().engine("da1").getJsonObject("calls")), is(reservations(before)));
  }

  private void assertAllAt(long revision) {
    for (String id : INSTANCES) {
      assertThat(id, deployment().instance(id).revision(), greaterThanOrEqualTo(revision));
    }
  }

  private static long reservations(JsonObject calls) {
    return calls.fieldNames().stream().filter(name -> name.startsWith("reserve ")).count();
  }
}
