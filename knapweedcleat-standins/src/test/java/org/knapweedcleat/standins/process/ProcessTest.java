package org.knapweedcleat.standins.process;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.TestInstance;
import org.knapweedcleat.standins.load.StreamRequest;

/** Starts one deployment for all tests of a class and checks the invariants after each. */
@Tag("process")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class ProcessTest {

  private Deployment deployment;

  @BeforeAll
  void startDeployment() {
    deployment = Deployment.start();
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

  static StreamRequest note(String prompt, int maxTokens) {
    return StreamRequest.of("/notes", Deployment.KEY, prompt, maxTokens);
  }
}
