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

  private static final IncarnationId FIRST_INCARNATION =
      IncarnationId.of(InstanceId.of("instance-1"), 7);

  private final CallerServerFixture first = CallerServerFixture.start("instance-1");
  private final CallerServerFixture second = CallerServerFixture.start("instance-2");
  private ScriptedServer endpoint;
  private ScriptedServer stallingEndpoint;

  @BeforeEach
  void connect() {
    endpoint =
        ScriptedServer.start(
            first.vertx,
            request -> ScriptedServer.Response.json(201, new JsonObject().put("done", true)));
    stallingEndpoint =
        ScriptedServer.start(
            second.vertx, request -> new ScriptedServer.Response(200, "", List.of()));
    for (CallerServerFixture fixture : List.of(first, second)) {
      fixture.declareEndpoint("plain-1", EndpointRole.PLAIN, endpoint.port());
      fixture.declareEndpoint("plain-2", EndpointRole.PLAIN, stallingEndpoint.port());
    }
    second.services.peerHandler =
        request ->
            first
                .server
                .handlePeerRequest(encodeAndDecode(request), FIRST_INCARNATION)
                .map(AtMostOnceCallHandlerTest::encodeAndDecode);
  }

  @AfterEach
  void close() {
    assertThat(first.monitor.firstViolations().toString(), is("[]"));
    assertThat(second.monitor.firstViolations().toString(), is("[]"));
    first.close();
    second.close();
  }

  @Test
  void replaysResponseAtEveryInstance() {
    String ticket = issueTicket();
    HttpResponse<String> response = first.post("/book", "{}", "X-Ticket", ticket);
    HttpResponse<String> repeated = first.post("/book", "{}", "X-Ticket", ticket);
    HttpResponse<String> elsewhere = second.post("/book", "{}", "X-Ticket", ticket);

    assertThat(response.statusCode(), is(201));
    assertThat(repeated.body(), is(response.body()));
    assertThat(elsewhere.body(), is(response.body()));
    assertThat(requestId(elsewhere), is(requestId(response)));
    assertThat(endpoint.receivedCount("/book"), is(1));
    assertThat(endpoint.received("/book").get(0).head().contains(ticket), is(false));
  }

  @Test
  void executesAtOwnerOnlyAndReplaysUncertainOutcome() {
    String ticket = issueTicket();
    endpoint.failNext("/book", ScriptedServer.Fault.AFTER_REQUEST_BODY);

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 502, "ENDPOINT_LOST", "maybe");
    SplitRequestExecutorTest.assertError(
        first.post("/book", "{}", "X-Ticket", ticket), 502, "ENDPOINT_LOST", "maybe");
    assertThat(endpoint.receivedCount("/book"), is(1));
  }

  @Test
  void reportsLostTicketWhenOwnerIsGone() {
    String ticket = issueTicket();
    second.services.peerHandler = null;

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 410, "TICKET_LOST", "maybe");
    assertThat(endpoint.receivedCount("/book"), is(0));
  }

  @Test
  void rejectsTicketOfOtherAccountOrOtherCall() {
    String ticket = issueTicket();
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
    assertThat(endpoint.receivedCount("/book"), is(1));
  }

  @Test
  void checksKeyOfForwardedCallAtOwner() {
    String ticket = issueTicket();
    first.withdrawKeys("one");

    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 401, "UNKNOWN_KEY", "no");
    assertThat(endpoint.receivedCount("/book"), is(0));
  }

  @Test
  void storesResponseAfterCallerDisconnects() {
    first.services.placeOn("plain-2");
    String ticket = issueTicket();
    HttpRequest request = first.request("POST", "/book", "{}", "X-Ticket", ticket);
    CompletableFuture<HttpResponse<String>> abandoned =
        first.client().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    CallerServerFixture.waitUntil(() -> stallingEndpoint.receivedCount("/book") == 1);
    SplitRequestExecutorTest.assertError(
        second.post("/book", "{}", "X-Ticket", ticket), 409, "TICKET_IN_USE", "maybe");
    abandoned.cancel(true);
    stallingEndpoint.respondToStalled(
        ScriptedServer.Response.json(200, new JsonObject().put("slow", true)));

    CallerServerFixture.waitUntil(
        () -> first.post("/book", "{}", "X-Ticket", ticket).statusCode() == 200);
    assertThat(stallingEndpoint.receivedCount("/book"), is(1));
  }

  @Test
  void replaysIdempotencyKeyThroughHomeInstance() {
    second.services.homeInstance = Optional.of(FIRST_INCARNATION);
    first.services.homeInstance = Optional.of(FIRST_INCARNATION);
    HttpResponse<String> response = second.post("/book", "{}", "Idempotency-Key", "slot-4");
    HttpResponse<String> repeated = first.post("/book", "{}", "Idempotency-Key", "slot-4");

    assertThat(requestId(repeated), is(requestId(response)));
    assertThat(endpoint.receivedCount("/book"), is(1));
    first.postAs(CallerServerFixture.OTHER_KEY, "/book", "{}", "Idempotency-Key", "slot-4");
    assertThat(endpoint.receivedCount("/book"), is(2));
  }

  private String issueTicket() {
    return new JsonObject(first.post("/v1/tickets", "").body()).getString("ticket");
  }

  private static String requestId(HttpResponse<String> response) {
    return response.headers().firstValue("X-Request-Id").orElse("");
  }

  /** Encodes and decodes a message, as sending it between instances does. */
  private static PeerMessage encodeAndDecode(PeerMessage message) {
    PeerCodec codec = PeerCodec.create();
    return codec.decodeBody(codec.encodeBody(message)).get();
  }
}
