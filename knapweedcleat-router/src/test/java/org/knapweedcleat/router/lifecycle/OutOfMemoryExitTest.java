package org.knapweedcleat.router.lifecycle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against a process that exits for another failure, or stays up after an error it wraps. */
class OutOfMemoryExitTest {

  @Test
  void recognizesErrorInCauses() {
    Throwable wrapped = new IllegalStateException(new RuntimeException(new OutOfMemoryError()));

    assertThat(OutOfMemoryExit.isOutOfMemory(wrapped), is(true));
  }

  @Test
  void ignoresOtherFailures() {
    assertThat(OutOfMemoryExit.isOutOfMemory(new StackOverflowError()), is(false));
    assertThat(OutOfMemoryExit.isOutOfMemory(null), is(false));
  }

  @Test
  void endsOnCyclicCauses() {
    Exception first = new Exception("first");
    Exception second = new Exception("second", first);
    first.initCause(second);

    assertThat(OutOfMemoryExit.isOutOfMemory(first), is(false));
  }
}
