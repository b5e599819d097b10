package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedResponse;

class ConfigurationProcessTest extends ProcessTest {

  private static final List<String> INSTANCES = List.of("a1", "a2", "b1", "b2");
  private static final int LONG_OUTPUT_TOKENS = 5_000;

  @AfterEach
  void restoreConfiguration() {
    deployment().controlPlatform("outage?on=false");
    deployment().controlPlatform("stale");
    deployment().awaitRevision(deployment().publish(deployment().fleetDocument().build()));
  }

  @Test
  void withdrawnKeyEndsStreamsAndIsRejectedByAllInstances() {
    StreamRequest request =
        StreamRequest.of("/notes", Deployment.OTHER_KEY, "withdrawn", LONG_OUTPUT_TOKENS);
    final StreamInProgress stream = startStream("a1", request);
    final StreamInProgress unaffectedStream = startStream("a1", noteRequest("stays", 200));

    long revision =
        deployment().publish(deployment().fleetDocument().withoutKey(Deployment.OTHER_KEY));
    StreamedResponse interrupted = Await.result(stream.response());
    deployment().awaitRevision(revision);

    assertThat(interrupted.error().error(), is("KEY_WITHDRAWN"));
    assertThat(Await.result(unaffectedStream.response()).isComplete(), is(true));
    for (String instance : INSTANCES) {
      assertThat(Await.result(deployment().send(instance, request)).status(), is(401));
    }
    deployment().awaitNoMemoryHeld();
  }

  @Test
  void configurationIsKeptWhilePlatformIsDownOrStale() {
    final long oldRevision = deployment().instance("a1").revision();
    long revision =
        deployment().publish(deployment().fleetDocument().withoutKey(Deployment.OTHER_KEY));
    deployment().awaitRevision(revision);

    deployment().controlPlatform("outage?on=true");
    assertMinRevision(revision);
    deployment().controlPlatform("stale?revision=" + oldRevision);
    deployment().controlPlatform("outage?on=false");
    deployment().instance("a1").process().kill();
    deployment().restartInstance("a1");

    assertMinRevision(revision);
    StreamRequest withdrawn = StreamRequest.of("/notes", Deployment.OTHER_KEY, "stale", 4);
    for (String instance : INSTANCES) {
      assertThat(Await.result(deployment().send(instance, withdrawn)).status(), is(401));
    }
  }

  @Test
  void invalidDocumentIsNotApplied() {
    final long revisionBefore = deployment().instance("b1").revision();

    deployment().publish("[service broken]\nteam = office\npool = nowhere\n");
    Await.pause(1_000);
    StreamedResponse response =
        Await.result(deployment().send("b1", noteRequest("still served", 20)));

    assertThat(response.isComplete(), is(true));
    assertThat(deployment().instance("b1").revision(), is(revisionBefore));
  }

  @Test
  void leavingEndpointReceivesNoNewRequests() {
    deployment()
        .awaitRevision(
            deployment().publish(deployment().fleetDocument().withLeavingEndpoint("da1")));
    JsonObject callsBefore = deployment().engineCounts("da1").getJsonObject("calls");

    for (int i = 0; i < 20; i++) {
      String instance = INSTANCES.get(i % INSTANCES.size());
      StreamedResponse response =
          Await.result(deployment().send(instance, noteRequest("leaving " + i, 10)));
      assertThat(response.isComplete(), is(true));
    }

    assertThat(
        countReservations(deployment().engineCounts("da1").getJsonObject("calls")),
        is(countReservations(callsBefore)));
  }

  private void assertMinRevision(long revision) {
    for (String id : INSTANCES) {
      assertThat(id, deployment().instance(id).revision(), greaterThanOrEqualTo(revision));
    }
  }

  private static long countReservations(JsonObject calls) {
    return calls.fieldNames().stream().filter(name -> name.startsWith("reserve ")).count();
  }
}
