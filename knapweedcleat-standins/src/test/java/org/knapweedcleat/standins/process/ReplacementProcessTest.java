package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.standins.load.StreamRequest;
import org.knapweedcleat.standins.load.StreamedAnswer;

class ReplacementProcessTest extends ProcessTest {

  private static final int STREAMS = 4;
  private static final int MAX_TOKENS = 60;

  private final List<Future<StreamedAnswer>> answers = new ArrayList<>();

  @Test
  void replacingAllInstancesOfFailureDomainCutsNoRequest() {
    for (String id : List.of("a1", "a2")) {
      sendTo(List.of("a1", "a2", "b1"));
      deployment().instance(id).proc().terminate();
      sendTo(List.of("b1", id.equals("a1") ? "a2" : "a1"));
      deployment().instance(id).proc().awaitExit();
      deployment().restartInstance(id);
    }
    sendTo(List.of("a1", "a2"));

    List<StreamedAnswer> all = answers.stream().map(Await::result).toList();

    all.forEach(
        answer -> assertThat(answer.toString(), answer.isWhole() || answer.isRefused(), is(true)));
    long whole = all.stream().filter(StreamedAnswer::isWhole).count();
    assertThat(whole, greaterThan(all.size() / 2L));
    deployment().awaitNoMemoryHeld();
  }

  private void sendTo(List<String> instances) {
    for (int i = 0; i < STREAMS; i++) {
      for (String id : instances) {
        String prompt = "replaced under load " + answers.size();
        StreamRequest request = StreamRequest.of("/notes", Deployment.KEY, prompt, MAX_TOKENS);
        answers.add(deployment().send(id, request));
      }
    }
  }
}
