package org.knapweedcleat.core.id;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class StorePositionTest {

  @Test
  void laterEraOutranksHigherRevision() {
    assertThat(StorePosition.of(2, 10), greaterThan(StorePosition.of(1, 41)));
    assertThat(StorePosition.of(2, 10), lessThan(StorePosition.of(2, 11)));
    assertThat(StorePosition.NONE, lessThan(StorePosition.of(0, 0)));
  }

  @Test
  void numbersHaveTheOrderOfTheirPositions() {
    List<StorePosition> ascending =
        List.of(
            StorePosition.NONE,
            StorePosition.of(0, 0),
            StorePosition.of(0, 412),
            StorePosition.of(1, 5),
            StorePosition.of(1, StorePosition.MAX_REVISION),
            StorePosition.of(2, 0),
            StorePosition.of(StorePosition.MAX_ERA, StorePosition.MAX_REVISION));

    List<Long> numbers = ascending.stream().map(StorePosition::toLong).toList();

    assertThat(numbers.stream().sorted().distinct().toList(), is(numbers));
    assertThat(numbers.stream().map(StorePosition::ofLong).toList(), is(ascending));
  }

  @Test
  void bareRevisionIsOfUnknownEra() {
    assertThat(StorePosition.of(0, 412).toLong(), is(412L));
    assertThat(StorePosition.ofLong(412).hasEra(), is(false));
    assertThat(StorePosition.ofLong(-1), is(StorePosition.NONE));
  }

  @Test
  void rejectsNumbersOutOfRange() {
    assertThrows(IllegalArgumentException.class, () -> StorePosition.of(-1, 1));
    assertThrows(
        IllegalArgumentException.class, () -> StorePosition.of(StorePosition.MAX_ERA + 1, 1));
    assertThrows(
        IllegalArgumentException.class, () -> StorePosition.of(1, StorePosition.MAX_REVISION + 1));
  }
}
