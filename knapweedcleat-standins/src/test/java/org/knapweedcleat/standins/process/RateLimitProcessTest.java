package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.standins.engine.TokenGenerator;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedResponse;

class RateLimitProcessTest extends ProcessTest {

  private static final int MAX_TOKENS = 30;
  private static final String PROMPT =
      "a prompt of the small account, forty tokens long ".repeat(3);
  private static final int REQUEST_COST_TOKENS =
      TokenGenerator.countPromptTokens(PROMPT) + MAX_TOKENS;
  private static final int REQUESTS_PER_ROUND = 20;
  private static final long PAUSE_BEYOND_LEASE_MILLIS = 2_500;

  private final long startedNanos = System.nanoTime();
  private long grantedTokens;

  @AfterEach
  void reconnectPeers() {
    deployment().reconnectPeers();
  }

  @Test
  void rateLimitHoldsWhileInstancesArePausedKilledOrPartitioned() {
    Await.until("a granted request within the rate", this::isGranted);
    sendRound(List.of("a1", "a2"));

    deployment().instance("a2").process().pause();
    Await.pause(PAUSE_BEYOND_LEASE_MILLIS);
    sendRound(List.of("a1", "b1"));
    deployment().instance("a2").process().resume();
    sendRound(List.of("a2", "a1"));

    deployment().instance("b1").process().kill();
    sendRound(List.of("a1", "b2"));
    deployment().restartInstance("b1");
    sendRound(List.of("b1", "b2"));

    deployment().disconnectPeers();
    sendRound(List.of("a1", "a2", "b1", "b2"));
    deployment().reconnectPeers();
    sendRound(List.of("a1", "a2", "b1", "b2"));
    deployment().awaitNoMemoryHeld();
  }

  @Test
  void accountOverItsRateDoesNotAffectOthers() {
    sendRound(List.of("a1", "a2", "b1", "b2"));

    StreamedResponse response =
        Await.result(deployment().send("a1", noteRequest("inside its rate", MAX_TOKENS)));

    assertThat(response.isComplete(), is(true));
  }

  /** Sends a single request, since earlier tests may have used up the account's tokens. */
  private boolean isGranted() {
    StreamRequest request = StreamRequest.of("/notes", Deployment.SMALL_KEY, PROMPT, MAX_TOKENS);
    boolean granted = Await.result(deployment().send("a1", request)).isComplete();
    grantedTokens += granted ? REQUEST_COST_TOKENS : 0;
    return granted;
  }

  /** Sends more requests than the rate allows and checks the tokens granted since the start. */
  private void sendRound(List<String> instances) {
    List<Future<StreamedResponse>> responses = new ArrayList<>();
    for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
      StreamRequest request = StreamRequest.of("/notes", Deployment.SMALL_KEY, PROMPT, MAX_TOKENS);
      responses.add(deployment().send(instances.get(i % instances.size()), request));
    }
    long grantedRequests =
        responses.stream().map(Await::result).filter(StreamedResponse::isComplete).count();
    grantedTokens += grantedRequests * REQUEST_COST_TOKENS;
    long elapsedSeconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedNanos) + 1;
    long allowedTokens = Deployment.SMALL_BURST + Deployment.SMALL_RATE * elapsedSeconds;
    assertThat("granted over " + instances, grantedTokens, lessThanOrEqualTo(allowedTokens));
  }
}
