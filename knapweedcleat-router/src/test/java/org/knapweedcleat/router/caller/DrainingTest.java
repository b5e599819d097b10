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

class DrainingTest {

  private final CallerFixture fixture = CallerFixture.start();

  @AfterEach
  void close() {
    assertThat(fixture.monitor.firstViolations().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void finishesWhatRunsAndServesThroughTheGraceTime() throws Exception {
    ScriptedServer desk =
        ScriptedServer.start(
            fixture.vertx, request -> new ScriptedServer.Reply(200, "", List.of()));
    fixture.endpoint("plain-1", EndpointRole.PLAIN, desk.port());
    final CompletableFuture<HttpResponse<String>> before =
        fixture
            .client()
            .sendAsync(
                fixture.request("POST", "/book", "{}"), HttpResponse.BodyHandlers.ofString());
    CallerFixture.eventually(() -> desk.count("/book") == 1);

    fixture.server.beginDrain();
    CompletableFuture<Integer> drained = new CompletableFuture<>();
    final Cancellable waiting = fixture.server.drained().subscribe().with(drained::complete);
    final CompletableFuture<HttpResponse<String>> during =
        fixture
            .client()
            .sendAsync(
                fixture.request("POST", "/book", "{}"), HttpResponse.BodyHandlers.ofString());
    CallerFixture.eventually(() -> desk.count("/book") == 2);
    fixture.clockSkipMillis.addAndGet(DrainState.GRACE_PERIOD_MILLIS);
    SplitCallTest.assertError(fixture.post("/book", "{}"), 503, "DRAINING", "no");
    assertThat(drained.isDone(), is(false));
    desk.answerStalled(ScriptedServer.Reply.json(200, new JsonObject().put("done", true)));

    assertThat(before.get().statusCode(), is(200));
    assertThat(during.get().statusCode(), is(200));
    assertThat(drained.get(), is(0));
    assertThat(
        fixture.audit, contains(new AuditEvent.DrainStarted(), new AuditEvent.DrainFinished(0)));
    waiting.cancel();
  }
}
