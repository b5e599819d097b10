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

    HttpTestClient.Response reply = deployment().post("a1", "/bookings", "lost answer");

    assertThat(reply.text(), reply.status(), is(502));
    assertThat(reply.json().getString("ran"), is("maybe"));
    assertThat(deployment().executions("lost answer"), is(1));
  }

  @Test
  void rejectedBookingIsReportedOrExecutedElsewhere() {
    injectFaultEverywhere("REFUSE");

    HttpTestClient.Response reply = deployment().post("a1", "/bookings", "refused booking");

    boolean ran = reply.status() == 200;
    assertThat(reply.text(), deployment().executions("refused booking"), is(ran ? 1 : 0));
    assertThat(reply.text(), ran || reply.json().getString("ran").equals("no"), is(true));
  }

  @Test
  void ticketMakesRetryAtAnotherInstanceSafe() {
    String ticket = issueTicket("a1");

    HttpTestClient.Response first = book("a1", ticket, "asked twice");
    HttpTestClient.Response again = book("b1", ticket, "asked twice");

    assertThat(first.text(), first.status(), is(200));
    assertThat(again.text(), again.status(), is(200));
    assertThat(again.text(), is(first.text()));
    assertThat(deployment().executions("asked twice"), is(1));
  }

  @Test
  void ticketWhoseCallMayHaveExecutedIsNotReused() {
    String ticket = issueTicket("a1");
    injectFaultEverywhere("LOSE_ANSWER");

    HttpTestClient.Response first = book("a2", ticket, "lost and asked again");
    deployment().clearFaults();
    HttpTestClient.Response again = book("b1", ticket, "lost and asked again");

    assertThat(first.text(), first.json().getString("ran"), is("maybe"));
    assertThat(again.text(), again.json().getString("ran"), is("maybe"));
    assertThat(deployment().executions("lost and asked again"), is(1));
  }

  @Test
  void concurrentUseOfTicketExecutesOnce() {
    String ticket = issueTicket("a1");
    PLAIN_ENDPOINTS.forEach(id -> deployment().injectFault(id, "DELAY_ANSWER", 1, RESPONSE_DELAY_MILLIS));

    CompletableFuture<HttpTestClient.Response> late =
        CompletableFuture.supplyAsync(() -> book("a2", ticket, "answered late"));
    Await.until("the booking runs", () -> deployment().executions("answered late") == 1);
    HttpTestClient.Response crossing = book("b1", ticket, "answered late");

    assertThat(crossing.text(), crossing.status(), anyOf(is(200), is(409)));
    assertThat(late.join().text(), late.join().status(), is(200));
    assertThat(deployment().executions("answered late"), is(1));
  }

  @Test
  void ticketOfKilledInstanceIsNeverExecutedAgain() {
    String ticket = issueTicket("a2");
    HttpTestClient.Response first = book("a2", ticket, "killed after");
    deployment().instance("a2").process().kill();

    HttpTestClient.Response again = book("b1", ticket, "killed after");
    deployment().restartInstance("a2");
    HttpTestClient.Response afterRestart = book("a2", ticket, "killed after");

    assertThat(first.text(), first.status(), is(200));
    assertThat(again.text(), again.status(), not(is(200)));
    assertThat(afterRestart.text(), afterRestart.status(), is(410));
    assertThat(deployment().executions("killed after"), is(1));
  }

  @Test
  void ticketOfPartitionedInstanceIsNotExecutedElsewhere() {
    String ticket = issueTicket("a1");
    deployment().disconnectPeers();

    HttpTestClient.Response elsewhere = book("b1", ticket, "cut off");
    int runsElsewhere = deployment().executions("cut off");
    HttpTestClient.Response own = book("a1", ticket, "cut off");

    assertThat(elsewhere.text(), elsewhere.status(), not(is(200)));
    assertThat(runsElsewhere, is(0));
    assertThat(own.text(), own.status(), anyOf(is(200), is(410)));
    assertThat(deployment().executions("cut off"), lessThanOrEqualTo(1));
  }

  @Test
  void lookupWithLostResponseIsRetried() {
    deployment().injectFault("qa1", "LOSE_ANSWER", 1, 0);

    HttpTestClient.Response reply = deployment().post("a1", "/lookups", "looked up");

    assertThat(reply.text(), reply.status(), is(200));
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
