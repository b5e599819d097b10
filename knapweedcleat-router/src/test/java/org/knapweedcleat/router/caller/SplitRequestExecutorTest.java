package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointState;
import org.knapweedcleat.core.id.AccountId;

class SplitRequestExecutorTest {

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final ScriptedEngine decodeEngine = new ScriptedEngine();
  private ScriptedServer prefill;
  private ScriptedServer decode;

  @BeforeEach
  void startEngines() {
    prefill = ScriptedServer.start(fixture.vertx, new ScriptedEngine());
    decode = ScriptedServer.start(fixture.vertx, decodeEngine);
    fixture.declareEndpoint("prefill-1", EndpointRole.PREFILL, prefill.port());
    fixture.declareEndpoint("decode-1", EndpointRole.DECODE, decode.port());
  }

  @AfterEach
  void close() {
    assertThat(fixture.monitor.firstViolations().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void streamsResponse() {
    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(3, true));

    assertThat(response.statusCode(), is(200));
    assertThat(response.body(), containsString("\"decode\":\"decode-1\""));
    assertThat(response.body(), containsString("data: {\"position\":2,\"text\":\"t2\"}"));
    assertThat(response.body(), containsString("event: end\ndata: {\"tokens\":3}"));
  }

  @Test
  void buffersResponse() {
    HttpResponse<String> response =
        fixture.post("/notes", CallerServerFixture.promptBody(3, false));

    assertThat(new JsonObject(response.body()).getString("text"), is("t0t1t2"));
  }

  @ParameterizedTest
  @CsvSource({
    "/v1/reserve, AFTER_ACCEPT",
    "/v1/reserve, AFTER_REQUEST_HEAD",
    "/v1/reserve, AFTER_REQUEST_BODY",
    "/v1/reserve, AFTER_RESPONSE_HEAD",
    "/v1/prefill, AFTER_ACCEPT",
    "/v1/prefill, AFTER_REQUEST_HEAD",
    "/v1/prefill, AFTER_REQUEST_BODY",
    "/v1/prefill, AFTER_RESPONSE_HEAD",
    "/v1/import, AFTER_REQUEST_HEAD",
    "/v1/import, AFTER_REQUEST_BODY",
    "/v1/import, AFTER_RESPONSE_HEAD",
    "/v1/decode, AFTER_REQUEST_HEAD",
    "/v1/decode, AFTER_REQUEST_BODY",
    "/v1/decode, AFTER_RESPONSE_HEAD",
    "/v1/decode, MID_BODY",
    "/v1/cancel, AFTER_REQUEST_BODY"
  })
  void returnsCompleteResponseDespiteOneFault(String path, ScriptedServer.Fault fault) {
    (path.equals("/v1/prefill") ? prefill : decode).failNext(path, fault);

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(6, true));

    assertThat(positions(response.body()), is(List.of(0, 1, 2, 3, 4, 5)));
    assertThat(response.body(), containsString("event: end\ndata: {\"tokens\":6}"));
    assertThat(fixture.services.balanceTokens.get(), is(1_000_000L - 4 - 6));
  }

  @Test
  void reportsNotRunWhenConnectionFails() {
    decode.close();

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(6, true));

    assertError(response, 503, "NO_ENDPOINT", "no");
    assertThat(fixture.services.balanceTokens.get(), is(1_000_000L));
    assertThat(prefill.receivedCount("/v1/prefill"), is(0));
  }

  @Test
  void releasesMemoryWhenPrefillIsUnreachable() {
    prefill.close();

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(6, true));

    assertThat(new JsonObject(response.body()).getString("error"), is("ENDPOINT_LOST"));
    CallerServerFixture.waitUntil(() -> decodeEngine.requestsHoldingMemory().isEmpty());
  }

  @Test
  void resumesElsewhereAfterDecodeEndpointFails() {
    ScriptedServer otherDecode = ScriptedServer.start(fixture.vertx, new ScriptedEngine());
    fixture.declareEndpoint("decode-2", EndpointRole.DECODE, otherDecode.port());
    decode.failNext("/v1/decode", ScriptedServer.Fault.MID_BODY);
    decodeEngine.loseMemoryAfterNextDecode();
    fixture.services.placeNextOn("prefill-1", "decode-1");
    fixture.services.placeOn("prefill-1", "decode-2");

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(9, true));

    assertThat(positions(response.body()), is(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8)));
    assertThat(otherDecode.received("/v1/decode").get(0).json().getInteger("fromPosition"), is(5));
    assertThat(prefill.receivedCount("/v1/prefill"), is(2));
  }

  @ParameterizedTest
  @EnumSource(
      value = AbortCause.class,
      names = {"DEADLINE", "KEY_WITHDRAWN", "CALLER_GONE"})
  void releasesMemoryWhenAborted(AbortCause cause) throws Exception {
    decodeEngine.stallDecodeCalls();
    String deadline = cause == AbortCause.DEADLINE ? "300" : "4000";
    HttpRequest request =
        fixture.request(
            "POST",
            "/notes",
            CallerServerFixture.promptBody(6, true),
            "X-Deadline-Millis",
            deadline);
    CompletableFuture<HttpResponse<String>> response =
        fixture.client().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    CallerServerFixture.waitUntil(() -> decode.receivedCount("/v1/decode") == 1);

    if (cause == AbortCause.CALLER_GONE) {
      response.cancel(true);
    } else if (cause == AbortCause.KEY_WITHDRAWN) {
      fixture.server.onDocumentChanged(fixture.withdrawKeys("one"));
      assertError(response.get(1, TimeUnit.MINUTES), 499, "KEY_WITHDRAWN", "maybe");
      AuditEvent withdrawn = new AuditEvent.KeyWithdrawn("one", AccountId.of("account-one"), 1);
      CallerServerFixture.waitUntil(() -> fixture.auditEvents.contains(withdrawn));
      assertError(
          fixture.post("/notes", CallerServerFixture.promptBody(1, true)),
          401,
          "UNKNOWN_KEY",
          "no");
    } else {
      assertError(response.get(1, TimeUnit.MINUTES), 502, "ENDPOINT_LOST", "maybe");
    }
    CallerServerFixture.waitUntil(() -> decodeEngine.requestsHoldingMemory().isEmpty());
    assertThat(fixture.server.activeRequestIds().await().indefinitely().isEmpty(), is(true));
  }

  @Test
  void continuesAtAnotherInstance() {
    String head =
        fixture.post("/notes", CallerServerFixture.promptBody(6, true)).body().split("\n\n")[0];
    String continuation = new JsonObject(head.split("data: ")[1]).getString("continuation");
    try (CallerServerFixture otherInstance = CallerServerFixture.start("instance-2")) {
      otherInstance.declareEndpoint("prefill-1", EndpointRole.PREFILL, prefill.port());
      otherInstance.declareEndpoint("decode-1", EndpointRole.DECODE, decode.port());
      String[] headers = {"X-Continuation", continuation, "X-Next-Position", "4"};

      HttpResponse<String> remainder =
          otherInstance.post("/notes", CallerServerFixture.promptBody(6, true), headers);
      assertThat(positions(remainder.body()), is(List.of(4, 5)));
      assertThat(otherInstance.services.balanceTokens.get(), is(1_000_000L - 4 - 2));

      assertError(
          otherInstance.post("/notes", CallerServerFixture.promptBody(7, true), headers),
          400,
          "MALFORMED",
          "no");
      assertError(
          otherInstance.postAs(
              CallerServerFixture.OTHER_KEY,
              "/notes",
              CallerServerFixture.promptBody(6, true),
              headers),
          400,
          "MALFORMED",
          "no");
    }
  }

  @Test
  void rejectsBeforeSendingAnything() {
    fixture.services.balanceTokens.set(8);
    HttpResponse<String> overRate = fixture.post("/notes", CallerServerFixture.promptBody(6, true));
    assertError(overRate, 429, "OVER_RATE", "no");
    assertThat(overRate.headers().firstValue("Retry-After").orElse(""), is("2"));
    assertError(fixture.post("/notes", "{\"prompt\":3}"), 400, "MALFORMED", "no");
    assertError(fixture.post("/notes", "no json"), 400, "MALFORMED", "no");
    assertError(fixture.post("/notes", "x".repeat(20_000)), 413, "TOO_LARGE", "no");
    assertError(fixture.post("/nowhere", ""), 404, "NO_ROUTE", "no");
    assertError(fixture.postAs("wrong", "/notes", ""), 401, "UNKNOWN_KEY", "no");
    fixture.services.unconfirmedMillis = 60_001;
    assertError(fixture.post("/notes", ""), 503, "KEY_UNCONFIRMED", "no");
    assertThat(decode.receivedCount("/v1/reserve"), is(0));
  }

  @Test
  void sendsNoNewWorkToLeavingEndpoint() {
    fixture.declareEndpoint("decode-1", EndpointRole.DECODE, decode.port(), EndpointState.LEAVING);

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(6, true));

    assertError(response, 503, "NO_ENDPOINT", "no");
    assertThat(decode.receivedCount("/v1/reserve"), is(0));
  }

  @Test
  void sendsNothingIfKeyIsWithdrawnDuringPlacement() {
    fixture.services.beforeNextPlacement = () -> fixture.withdrawKeys("one");

    HttpResponse<String> response = fixture.post("/notes", CallerServerFixture.promptBody(6, true));

    assertError(response, 401, "UNKNOWN_KEY", "no");
    assertThat(decode.receivedCount("/v1/reserve"), is(0));
  }

  private static List<Integer> positions(String stream) {
    List<Integer> positions = new ArrayList<>();
    for (String event : stream.split("\n\n")) {
      if (event.startsWith("event: token")) {
        positions.add(new JsonObject(event.split("data: ")[1]).getInteger("position"));
      }
    }
    return positions;
  }

  static void assertError(HttpResponse<String> response, int status, String error, String ran) {
    assertThat(response.body(), response.statusCode(), is(status));
    JsonObject json = new JsonObject(response.body());
    assertThat(json.getString("error"), is(error));
    assertThat(json.getString("ran"), is(ran));
  }
}
