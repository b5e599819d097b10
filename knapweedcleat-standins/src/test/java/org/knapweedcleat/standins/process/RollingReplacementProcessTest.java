package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedResponse;

class RollingReplacementProcessTest extends ProcessTest {

  private static final int REQUESTS_PER_INSTANCE = 4;
  private static final int MAX_TOKENS = 60;

  private final List<Future<StreamedResponse>> responses = new ArrayList<>();

  @Test
  void replacingAllInstancesOfFailureDomainInterruptsNoRequest() {
    for (String id : List.of("a1", "a2")) {
      sendRequests(List.of("a1", "a2", "b1"));
      deployment().instance(id).process().terminate();
      sendRequests(List.of("b1", id.equals("a1") ? "a2" : "a1"));
      deployment().instance(id).process().awaitExit();
      deployment().restartInstance(id);
    }
    sendRequests(List.of("a1", "a2"));

    List<StreamedResponse> results = responses.stream().map(Await::result).toList();

    results.forEach(
        response ->
            assertThat(
                response.toString(), response.isComplete() || response.isRejected(), is(true)));
    long completeCount = results.stream().filter(StreamedResponse::isComplete).count();
    assertThat(completeCount, greaterThan(results.size() / 2L));
    deployment().awaitNoMemoryHeld();
  }

  private void sendRequests(List<String> instances) {
    for (int i = 0; i < REQUESTS_PER_INSTANCE; i++) {
      for (String id : instances) {
        String prompt = "replaced under load " + responses.size();
        StreamRequest request = StreamRequest.of("/notes", Deployment.KEY, prompt, MAX_TOKENS);
        responses.add(deployment().send(id, request));
      }
    }
  }
}
