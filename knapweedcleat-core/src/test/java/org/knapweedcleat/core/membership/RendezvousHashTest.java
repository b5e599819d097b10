package org.knapweedcleat.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {

  private static final List<String> CANDIDATES = List.of("a", "b", "c", "d");
  private static final int KEYS = 10_000;

  @Test
  void distributesKeysEvenly() {
    Map<String, Long> counts =
        IntStream.range(0, KEYS)
            .mapToObj(i -> choose("name-" + i, CANDIDATES))
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    for (String candidate : CANDIDATES) {
      assertThat(counts.get(candidate), is(allOf(greaterThan(2_300L), lessThan(2_700L))));
    }
  }

  @Test
  void movesOnlyKeysOfRemovedCandidate() {
    List<String> remaining = List.of("d", "b", "a");
    for (int i = 0; i < 1_000; i++) {
      String before = choose("name-" + i, CANDIDATES);
      if (!before.equals("c")) {
        assertThat(choose("name-" + i, remaining), is(before));
      }
    }
  }

  @Test
  void weightIsStableAcrossProcesses() {
    assertThat(RendezvousHash.weight("name", "candidate"), is(8611783263951766924L));
  }

  private static String choose(String key, List<String> candidates) {
    return RendezvousHash.choose(key, candidates, Function.identity()).orElseThrow();
  }
}
