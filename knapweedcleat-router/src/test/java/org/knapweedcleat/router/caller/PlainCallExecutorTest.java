package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedcleat.core.config.EndpointRole;

class PlainCallExecutorTest {

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private ScriptedServer endpoint;

  @BeforeEach
  void startEndpoint() {
    endpoint =
        ScriptedServer.start(
            fixture.vertx,
            request -> ScriptedServer.Response.json(201, new JsonObject().put("done", true)));
    fixture.declareEndpoint("plain-1", EndpointRole.PLAIN, endpoint.port());
  }

  @AfterEach
  void close() {
    assertThat(fixture.monitor.firstViolations().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void forwardsCallWithoutKey() {
    HttpResponse<String> response =
        fixture.post("/book?slot=4", "{\"x\":1}", "Cookie", "a=b", "Idempotency-Key", "mine");

    assertThat(response.statusCode(), is(201));
    assertThat(response.body(), is("{\"done\":true}"));
    assertThat(response.headers().firstValue("X-Endpoint").orElse(""), is("plain-1"));
    String head = endpoint.received("/book").get(0).head();
    assertThat(head, head.contains(CallerServerFixture.KEY), is(false));
    assertThat(head, head.toLowerCase(Locale.ROOT).contains("cookie"), is(false));
    assertThat(head, head.startsWith("POST /book?slot=4 "), is(true));
    assertThat(head, head.toLowerCase(Locale.ROOT).contains("idempotency-key: mine"), is(true));
  }

  @ParameterizedTest
  @EnumSource(value = ScriptedServer.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void sendsAtMostOnceCallOnlyOnce(ScriptedServer.Fault fault) {
    endpoint.failNext("/book", fault);

    HttpResponse<String> response = fixture.post("/book", "{}");

    SplitRequestExecutorTest.assertError(response, 502, "ENDPOINT_LOST", "maybe");
    assertThat(endpoint.receivedCount("/book"), is(lessThanOrEqualTo(1)));
    assertThat(fixture.services.placements.size(), is(1));
  }

  @ParameterizedTest
  @EnumSource(value = ScriptedServer.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void retriesIdempotentCall(ScriptedServer.Fault fault) {
    endpoint.failNext("/slots", fault);

    HttpResponse<String> response = fixture.get("/slots");

    assertThat(response.body(), is("{\"done\":true}"));
    assertThat(endpoint.receivedCount("/slots"), is(lessThanOrEqualTo(2)));
  }

  @Test
  void retriesCallThatEndpointDidNotRun() {
    ScriptedServer busyEndpoint =
        ScriptedServer.start(
            fixture.vertx,
            request -> new ScriptedServer.Response(503, "X-Not-Run: true\r\n", List.of("busy")));
    fixture.declareEndpoint("plain-2", EndpointRole.PLAIN, busyEndpoint.port());
    fixture.services.placeNextOn("plain-2");
    assertThat(fixture.post("/book", "{}").statusCode(), is(201));

    fixture.services.placeOn("plain-2");
    SplitRequestExecutorTest.assertError(fixture.post("/book", "{}"), 503, "NO_ENDPOINT", "no");
    assertThat(busyEndpoint.receivedCount("/book"), is(5));
  }

  @Test
  void reportsNotRunWhenConnectionFails() {
    endpoint.close();

    SplitRequestExecutorTest.assertError(fixture.post("/book", "{}"), 503, "NO_ENDPOINT", "no");
    assertThat(fixture.services.balanceTokens.get(), is(1_000_000L));
  }

  @Test
  void openRouteNeedsNoKey() {
    assertThat(fixture.send("wrong", "GET", "/open", "").statusCode(), is(201));
  }
}
