package org.knapweedcleat.core.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromptTokenEstimatorTest {

  @ParameterizedTest
  @CsvSource({"'', 1", "a, 1", "abcd, 1", "abcde, 2", "one two three four, 5"})
  void estimatesOneTokenPerFourCharacters(String prompt, int tokens) {
    assertThat(PromptTokenEstimator.estimate(prompt), is(tokens));
  }
}
