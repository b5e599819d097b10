package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.drain.DrainState;

class DrainCoordinatorTest {

  private final CallerServerFixture fixture = CallerServerFixture.start();

  @AfterEach
  void close() {
    assertThat(fixture.monitor.firstViolations().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void finishesActiveRequestsAndAdmitsNewOnesInGracePeriod() throws Exception {
    ScriptedServer endpoint =
        ScriptedServer.start(
            fixture.vertx, request -> new ScriptedServer.Response(200, "", List.of()));
    fixture.declareEndpoint("plain-1", EndpointRole.PLAIN, endpoint.port());
    final CompletableFuture<HttpResponse<String>> beforeDrain =
        fixture
            .client()
            .sendAsync(
                fixture.request("POST", "/book", "{}"), HttpResponse.BodyHandlers.ofString());
    CallerServerFixture.waitUntil(() -> endpoint.receivedCount("/book") == 1);

    fixture.server.beginDrain();
    CompletableFuture<Integer> drained = new CompletableFuture<>();
    final Cancellable subscription =
        fixture.server.awaitDrained().subscribe().with(drained::complete);
    final CompletableFuture<HttpResponse<String>> duringDrain =
        fixture
            .client()
            .sendAsync(
                fixture.request("POST", "/book", "{}"), HttpResponse.BodyHandlers.ofString());
    CallerServerFixture.waitUntil(() -> endpoint.receivedCount("/book") == 2);
    fixture.clockSkipMillis.addAndGet(DrainState.GRACE_PERIOD_MILLIS);
    SplitRequestExecutorTest.assertError(fixture.post("/book", "{}"), 503, "DRAINING", "no");
    assertThat(drained.isDone(), is(false));
    endpoint.respondToStalled(
        ScriptedServer.Response.json(200, new JsonObject().put("done", true)));

    assertThat(beforeDrain.get().statusCode(), is(200));
    assertThat(duringDrain.get().statusCode(), is(200));
    assertThat(drained.get(), is(0));
    assertThat(
        fixture.auditEvents,
        contains(new AuditEvent.DrainStarted(), new AuditEvent.DrainFinished(0)));
    subscription.cancel();
  }
}
