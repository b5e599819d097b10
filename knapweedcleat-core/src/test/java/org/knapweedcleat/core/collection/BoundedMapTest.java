package org.knapweedcleat.core.collection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

class BoundedMapTest {

  @Test
  void dropsOldestEntry() {
    Map<String, Integer> map = BoundedMap.of(2);
    map.put("a", 1);
    map.put("b", 2);
    map.put("a", 3);
    map.put("c", 4);

    assertThat(map, is(Map.of("b", 2, "c", 4)));
  }

  @Test
  void rejectsMaximumBelowOne() {
    assertThrows(IllegalArgumentException.class, () -> BoundedMap.of(0));
  }
}
