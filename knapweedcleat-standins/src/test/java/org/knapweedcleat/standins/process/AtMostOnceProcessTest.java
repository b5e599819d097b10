package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AtMostOnceProcessTest extends ProcessTest {

  private static final long RESPONSE_DELAY_MILLIS = 2_000;
  private static final List<String> PLAIN_ENDPOINTS = List.of("qa1", "qb1");

  @AfterEach
  void clearFaults() {
    deployment().clearFaults();
    deployment().reconnectPeers();
  }

  @Test
  void bookingWithLostResponseIsNotRetried() {
    injectFaultEverywhere("LOSE_ANSWER");

    HttpTestClient.Response response = deployment().post("a1", "/bookings", "lost answer");

    assertThat(response.text(), response.status(), is(502));
    assertThat(response.json().getString("ran"), is("maybe"));
    assertThat(deployment().executions("lost answer"), is(1));
  }

  @Test
  void rejectedBookingIsReportedOrExecutedElsewhere() {
    injectFaultEverywhere("REFUSE");

    HttpTestClient.Response response = deployment().post("a1", "/bookings", "rejected booking");

    boolean executed = response.status() == 200;
    assertThat(response.text(), deployment().executions("rejected booking"), is(executed ? 1 : 0));
    assertThat(
        response.text(), executed || response.json().getString("ran").equals("no"), is(true));
  }

  @Test
  void ticketMakesRetryAtAnotherInstanceSafe() {
    String ticket = issueTicket("a1");

    HttpTestClient.Response first = book("a1", ticket, "retried booking");
    HttpTestClient.Response retry = book("b1", ticket, "retried booking");

    assertThat(first.text(), first.status(), is(200));
    assertThat(retry.text(), retry.status(), is(200));
    assertThat(retry.text(), is(first.text()));
    assertThat(deployment().executions("retried booking"), is(1));
  }

  @Test
  void ticketWhoseCallMayHaveExecutedIsNotReused() {
    String ticket = issueTicket("a1");
    injectFaultEverywhere("LOSE_ANSWER");

    HttpTestClient.Response first = book("a2", ticket, "lost and retried booking");
    deployment().clearFaults();
    HttpTestClient.Response retry = book("b1", ticket, "lost and retried booking");

    assertThat(first.text(), first.json().getString("ran"), is("maybe"));
    assertThat(retry.text(), retry.json().getString("ran"), is("maybe"));
    assertThat(deployment().executions("lost and retried booking"), is(1));
  }

  @Test
  void concurrentUseOfTicketExecutesOnce() {
    String ticket = issueTicket("a1");
    PLAIN_ENDPOINTS.forEach(
        id -> deployment().injectFault(id, "DELAY_ANSWER", 1, RESPONSE_DELAY_MILLIS));

    CompletableFuture<HttpTestClient.Response> delayed =
        CompletableFuture.supplyAsync(() -> book("a2", ticket, "delayed booking"));
    Await.until("execution of the booking", () -> deployment().executions("delayed booking") == 1);
    HttpTestClient.Response concurrent = book("b1", ticket, "delayed booking");

    assertThat(concurrent.text(), concurrent.status(), anyOf(is(200), is(409)));
    assertThat(delayed.join().text(), delayed.join().status(), is(200));
    assertThat(deployment().executions("delayed booking"), is(1));
  }

  @Test
  void ticketOfKilledInstanceIsNeverExecutedAgain() {
    String ticket = issueTicket("a2");
    HttpTestClient.Response first = book("a2", ticket, "booking before kill");
    deployment().instance("a2").process().kill();

    HttpTestClient.Response retry = book("b1", ticket, "booking before kill");
    deployment().restartInstance("a2");
    HttpTestClient.Response afterRestart = book("a2", ticket, "booking before kill");

    assertThat(first.text(), first.status(), is(200));
    assertThat(retry.text(), retry.status(), not(is(200)));
    assertThat(afterRestart.text(), afterRestart.status(), is(410));
    assertThat(deployment().executions("booking before kill"), is(1));
  }

  @Test
  void ticketOfPartitionedInstanceIsNotExecutedElsewhere() {
    String ticket = issueTicket("a1");
    deployment().disconnectPeers();

    HttpTestClient.Response elsewhere = book("b1", ticket, "partitioned booking");
    int executionsElsewhere = deployment().executions("partitioned booking");
    HttpTestClient.Response atIssuer = book("a1", ticket, "partitioned booking");

    assertThat(elsewhere.text(), elsewhere.status(), not(is(200)));
    assertThat(executionsElsewhere, is(0));
    assertThat(atIssuer.text(), atIssuer.status(), anyOf(is(200), is(410)));
    assertThat(deployment().executions("partitioned booking"), lessThanOrEqualTo(1));
  }

  @Test
  void lookupWithLostResponseIsRetried() {
    deployment().injectFault("qa1", "LOSE_ANSWER", 1, 0);

    HttpTestClient.Response response = deployment().post("a1", "/lookups", "looked up");

    assertThat(response.text(), response.status(), is(200));
  }

  private void injectFaultEverywhere(String kind) {
    PLAIN_ENDPOINTS.forEach(id -> deployment().injectFault(id, kind, 1, 0));
  }

  private String issueTicket(String instance) {
    return deployment().post(instance, "/v1/tickets", "").json().getString("ticket");
  }

  private HttpTestClient.Response book(String instance, String ticket, String body) {
    return deployment().post(instance, "/bookings", body, "X-Ticket", ticket);
  }
}
