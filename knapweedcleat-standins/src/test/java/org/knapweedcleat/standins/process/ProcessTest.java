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

/** Runs the tests of a class on a shared deployment and checks its invariants after each. */
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

  /** Sends a request, retrying rejections, and waits until its first tokens have arrived. */
  StreamInProgress startStream(String instance, StreamRequest request) {
    AtomicReference<StreamedResponse> latest = new AtomicReference<>();
    Future<StreamedResponse> response = deployment().send(instance, request, latest::set);
    Await.until(
        "first tokens of " + request.prompt(),
        () ->
            response.isComplete()
                || latest.get() != null && latest.get().nextPosition() >= MIN_RECEIVED_TOKENS);
    if (response.isComplete() && response.result().isRejected()) {
      Await.pause(response.result().error().retryAfterMillis());
      return startStream(instance, request);
    }
    if (response.isComplete()) {
      throw new AssertionError("ended prematurely: " + describe(response.result()));
    }
    return new StreamInProgress(response, latest);
  }

  static String describe(StreamedResponse response) {
    return "%d %s next %d wrong %d error %s"
        .formatted(
            response.status(),
            response.head(),
            response.nextPosition(),
            response.wrongTokens(),
            response.error());
  }

  /** A response in progress and its latest received state. */
  record StreamInProgress(
      Future<StreamedResponse> response, AtomicReference<StreamedResponse> latest) {}
}
