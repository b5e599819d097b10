package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.account.Sha256;

class DocumentPartAssemblerTest {

  private static final String FIRST = "[deployment sample]\n";
  private static final String SECOND = "team = office\n";

  @Test
  void completesOnlyWithAllParts() {
    DocumentPartAssembler assembler =
        DocumentPartAssembler.of("fleet", manifest(FIRST, SECOND, FIRST)).get();

    assertThat(assembler.add(Sha256.hexOf(SECOND), SECOND), is(PartOutcome.ACCEPTED));
    assertThat(assembler.text(), is(Option.none()));
    assertThat(assembler.missingDigests().asJava(), contains(Sha256.hexOf(FIRST)));
    assertThat(assembler.add(Sha256.hexOf(FIRST), SECOND), is(PartOutcome.WRONG_DIGEST));
    assertThat(assembler.add(Sha256.hexOf("x"), "x"), is(PartOutcome.NOT_NAMED));
    assertThat(assembler.text(), is(Option.none()));
    assertThat(assembler.add(Sha256.hexOf(FIRST), FIRST), is(PartOutcome.ACCEPTED));
    assertThat(assembler.text(), is(Option.some(FIRST + SECOND + FIRST)));
  }

  @Test
  void distinguishesManifestsFromDocuments() {
    assertThat(DocumentPartAssembler.isManifest(manifest(FIRST)), is(true));
    assertThat(DocumentPartAssembler.isManifest(SampleDocument.TEXT), is(false));
    assertThat(DocumentPartAssembler.isManifest(""), is(false));
  }

  @Test
  void reportsEveryMalformedLine() {
    String text = "manifest\npart 12\npart " + Sha256.hexOf(FIRST) + "\nparts\n";

    assertThat(
        DocumentPartAssembler.of("fleet", text).getLeft().map(ConfigFault::line).asJava(),
        contains(2, 4));
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
