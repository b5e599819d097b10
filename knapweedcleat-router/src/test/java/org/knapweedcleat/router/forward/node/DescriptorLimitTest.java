package org.knapweedcleat.router.forward.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class DescriptorLimitTest {

  @Test
  void readsSoftLimit() {
    Stream<String> lines =
        Stream.of(
            "Limit                     Soft Limit           Hard Limit           Units     ",
            "Max open files            2069                 4096                 files     ");

    assertThat(DescriptorLimit.parse(lines), is(2_069L));
  }

  @Test
  void usesFallbackForUnlimitedOrMissingLine() {
    assertThat(
        DescriptorLimit.parse(Stream.of("Max open files   unlimited  unlimited  files")),
        is(2_048L));
    assertThat(DescriptorLimit.parse(Stream.empty()), is(2_048L));
  }
}
