package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.account.Sha256;

class DocumentPartAssemblerTest {

  private static final String ONE = "[deployment sample]\n";
  private static final String TWO = "team = office\n";

  @Test
  void isCompleteOnlyWithEveryPart() {
    DocumentPartAssembler parts = DocumentPartAssembler.of("fleet", manifest(ONE, TWO, ONE)).get();

    assertThat(parts.add(Sha256.hexOf(TWO), TWO), is(PartOutcome.ACCEPTED));
    assertThat(parts.text(), is(Option.none()));
    assertThat(parts.missingDigests().asJava(), contains(Sha256.hexOf(ONE)));
    assertThat(parts.add(Sha256.hexOf(ONE), TWO), is(PartOutcome.WRONG_DIGEST));
    assertThat(parts.add(Sha256.hexOf("x"), "x"), is(PartOutcome.NOT_NAMED));
    assertThat(parts.text(), is(Option.none()));
    assertThat(parts.add(Sha256.hexOf(ONE), ONE), is(PartOutcome.ACCEPTED));
    assertThat(parts.text(), is(Option.some(ONE + TWO + ONE)));
  }

  @Test
  void tellsManifestsFromDocuments() {
    assertThat(DocumentPartAssembler.isManifest(manifest(ONE)), is(true));
    assertThat(DocumentPartAssembler.isManifest(SampleDocument.TEXT), is(false));
    assertThat(DocumentPartAssembler.isManifest(""), is(false));
  }

  @Test
  void reportsEveryBadLine() {
    String text = "manifest\npart 12\npart " + Sha256.hexOf(ONE) + "\nparts\n";

    assertThat(
        DocumentPartAssembler.of("fleet", text).getLeft().map(ConfigFault::line).asJava(), contains(2, 4));
    assertThat(DocumentPartAssembler.of("fleet", "manifest\n").isLeft(), is(true));
    assertThat(DocumentPartAssembler.of("fleet", "").isLeft(), is(true));
  }

  private static String manifest(String... parts) {
    StringBuilder text = new StringBuilder("manifest\n");
    for (String part : parts) {
      text.append("part ").append(Sha256.hexOf(part)).append('\n');
    }
    return text.toString();
  }
}
