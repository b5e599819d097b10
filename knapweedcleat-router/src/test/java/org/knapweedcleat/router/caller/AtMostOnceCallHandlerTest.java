package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.peer.PeerCodec;

class AtMostOnceCallHandlerTest {

  private static final IncarnationId FIRST = IncarnationId.of(InstanceId.of("instance-1"), 7);

  private final CallerServerFixture first = CallerServerFixture.start("instance-1");
  private final CallerServerFixture second = CallerServerFixture.start("instance-2");
  private ScriptedServer desk;
  private ScriptedServer slow;

  @BeforeEach
  void connect() {
    desk =
        ScriptedServer.start(
            first.vertx,
            request -> ScriptedServer.Response.json(201, new JsonObject().put("done", true)));
    slow =
        ScriptedServer.start(second.vertx, request -> new ScriptedServer.Response(200, "", List.of()));
    for (CallerServerFixture fixture : List.of(first, second)) {
      fixture.declareEndpoint("plain-1", EndpointRole.PLAIN, desk.port());
      fixture.declareEndpoint("plain-2", EndpointRole.PLAIN, slow.port());
    }
    second.services.peerHandler =
        question -> first.server.handlePeerRequest(carried(question), FIRST).map(AtMostOnceCallHandlerTest::carried);
  }

  @AfterEach
  void close() {
    assertThat(first.monitor.firstViolations().toString(), is("[]"));
    assertThat(second.monitor.firstViolations().toString(), is("[]"));
    first.close();
    second.close();
  }

  @Test
  void answersRepeatsWithTheSameAnswerAtAnyInstance() {
    String ticket = ticket();
    HttpResponse<String> answer = first.post("/book", "{}", "X-Ticket", ticket);
    HttpResponse<String> repeated = first.post("/book", "{}", "X-Ticket", ticket);
    HttpResponse<String> elsewhere = second.post("/book", "{}", "X-Ticket", ticket);

    assertThat(answer.statusCode(), is(201));
    assertThat(repeated.body(), is(answer.body()));
    assertThat(elsewhere.body(), is(answer.body()));
    assertThat(requestId(elsewhere), is(requestId(answer)));
    assertThat(desk.receivedCount("/book"), is(1));
    assertThat(desk.received("/book").get(0).head().contains(ticket), is(false));
  }

  @Test
  void runsThroughItsOwnerOnlyAndRemembersWhatMayHaveRun() {
    String ticket = ticket();
    desk.failNext("/book", ScriptedServer.Fault.AFTER_REQUEST_BODY);

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 502, "ENDPOINT_LOST", "maybe");
    SplitRequestExecutorTest.assertError(
        first.post("/book", "{}", "X-Ticket", ticket), 502, "ENDPOINT_LOST", "maybe");
    assertThat(desk.receivedCount("/book"), is(1));
  }

  @Test
  void saysAtOnceThatTheOwnerIsGone() {
    String ticket = ticket();
    second.services.peerHandler = null;

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 410, "TICKET_LOST", "maybe");
    assertThat(desk.receivedCount("/book"), is(0));
  }

  @Test
  void refusesTicketsOfOthersAndOfOtherCalls() {
    String ticket = ticket();
    SplitRequestExecutorTest.assertError(
        first.postAs(CallerServerFixture.OTHER_KEY, "/book", "{}", "X-Ticket", ticket),
        400,
        "MALFORMED",
        "no");
    SplitRequestExecutorTest.assertError(
        second.postAs(CallerServerFixture.OTHER_KEY, "/book", "{}", "X-Ticket", ticket),
        400,
        "MALFORMED",
        "no");
    assertThat(first.post("/book", "{}", "X-Ticket", ticket).statusCode(), is(201));
    SplitRequestExecutorTest.assertError(
        first.post("/book", "{\"other\":1}", "X-Ticket", ticket), 400, "MALFORMED", "no");
    assertThat(desk.receivedCount("/book"), is(1));
  }

  @Test
  void checksTheKeyOfForwardedCallsAtTheirOwner() {
    String ticket = ticket();
    first.withdrawKeys("one");

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 401, "UNKNOWN_KEY", "no");
    assertThat(desk.receivedCount("/book"), is(0));
  }

  @Test
  void remembersTheAnswerThatItsCallerDidNotWaitFor() {
    first.services.placeOn("plain-2");
    String ticket = ticket();
    HttpRequest request = first.request("POST", "/book", "{}", "X-Ticket", ticket);
    CompletableFuture<HttpResponse<String>> gone =
        first.client().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    CallerServerFixture.waitUntil(() -> slow.receivedCount("/book") == 1);
    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 409, "TICKET_IN_USE", "maybe");
    gone.cancel(true);
    slow.respondToStalled(ScriptedServer.Response.json(200, new JsonObject().put("slow", true)));

    CallerServerFixture.waitUntil(
        () -> first.post("/book", "{}", "X-Ticket", ticket).statusCode() == 200);
    assertThat(slow.receivedCount("/book"), is(1));
  }

  @Test
  void honoursNamesThroughTheirHome() {
    second.services.homeInstance = Optional.of(FIRST);
    first.services.homeInstance = Optional.of(FIRST);
    HttpResponse<String> answer = second.post("/book", "{}", "Idempotency-Key", "slot-4");
    HttpResponse<String> repeated = first.post("/book", "{}", "Idempotency-Key", "slot-4");

    assertThat(requestId(repeated), is(requestId(answer)));
    assertThat(desk.receivedCount("/book"), is(1));
    first.postAs(CallerServerFixture.OTHER_KEY, "/book", "{}", "Idempotency-Key", "slot-4");
    assertThat(desk.receivedCount("/book"), is(2));
  }

  private String ticket() {
    return new JsonObject(first.post("/v1/tickets", "").body()).getString("ticket");
  }

  private static String requestId(HttpResponse<String> response) {
    return response.headers().firstValue("X-Request-Id").orElse("");
  }

  /** Passes a message through the bytes that instances exchange. */
  private static PeerMessage carried(PeerMessage message) {
    PeerCodec codec = PeerCodec.create();
    return codec.decodeBody(codec.encodeBody(message)).get();
  }
}
