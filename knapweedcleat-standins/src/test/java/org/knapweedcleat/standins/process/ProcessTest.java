package org.knapweedcleat.standins.process;

import io.vertx.core.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.TestInstance;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedResponse;

/** Starts one deployment for all tests of a class and checks the invariants after each. */
@Tag("process")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class ProcessTest {

  private static final int MIN_RECEIVED_TOKENS = 20;

  private Deployment deployment;

  @BeforeAll
  void startDeployment() {
    deployment = Deployment.start();
  }

  @BeforeEach
  void restartStopped() {
    deployment.restartStopped();
  }

  @AfterEach
  void checkInvariants() {
    deployment.checkInvariants();
  }

  @AfterAll
  void stopDeployment() {
    if (deployment != null) {
      deployment.close();
    }
  }

  Deployment deployment() {
    return deployment;
  }

  static StreamRequest noteRequest(String prompt, int maxTokens) {
    return StreamRequest.of("/notes", Deployment.KEY, prompt, maxTokens);
  }

  /** Sends a request, again while it is refused, and waits until its first tokens have come. */
  StreamInProgress startStream(String instance, StreamRequest request) {
    AtomicReference<StreamedResponse> seen = new AtomicReference<>();
    Future<StreamedResponse> answer = deployment().send(instance, request, seen::set);
    Await.until(
        "first tokens of " + request.prompt(),
        () -> answer.isComplete() || seen.get() != null && seen.get().nextPosition() >= MIN_RECEIVED_TOKENS);
    if (answer.isComplete() && answer.result().isRejected()) {
      Await.pause(answer.result().error().retryAfterMillis());
      return startStream(instance, request);
    }
    if (answer.isComplete()) {
      throw new AssertionError("ended early: " + describe(answer.result()));
    }
    return new StreamInProgress(answer, seen);
  }

  static String describe(StreamedResponse answer) {
    return "%d %s next %d wrong %d error %s"
        .formatted(
            answer.status(), answer.head(), answer.nextPosition(), answer.wrongTokens(), answer.error());
  }

  /** An answer under way and what has come of it. */
  record StreamInProgress(Future<StreamedResponse> response, AtomicReference<StreamedResponse> latest) {}
}
