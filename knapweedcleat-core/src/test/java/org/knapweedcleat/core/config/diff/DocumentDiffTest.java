package org.knapweedcleat.core.config.diff;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetDocumentParser;
import org.knapweedcleat.core.config.SampleDocument;
import org.knapweedcleat.core.id.TeamId;

class DocumentDiffTest {

  private static final FleetDocument OLD = SampleDocument.document();

  @Test
  void findsNoChangesBetweenEqualDocuments() {
    assertThat(DocumentDiff.between(OLD, SampleDocument.document()).changes().asJava(), empty());
  }

  @Test
  void reportsValuesTeamsAndDangers() {
    String text =
        SampleDocument.TEXT
            .replace("burstTokens = 20000", "burstTokens = 30000")
            .replace("rateTokensPerSecond = 500", "rateTokensPerSecond = 400")
            .replace("checksFencing = yes", "checksFencing = yes\nstate = leaving")
            .replace("safety = at-most-once", "safety = idempotent\nopen = yes")
            .replaceAll("(?s)\\[endpoint desk-1].*", "");

    DocumentDiff diff = between(text);

    assertThat(
        diff.sections().asJava(),
        contains("route book", "account families", "endpoint desk-1", "endpoint horn-d1"));
    assertThat(diff.teams().map(TeamId::value).asJava(), contains("desk", "engines", "office"));
    assertThat(
        diff.dangerous().flatMap(SectionChange::dangers).asJava(),
        contains(
            Danger.ROUTE_OPENED,
            Danger.SAFETY_LOOSENED,
            Danger.LIMIT_LOWERED,
            Danger.ENDPOINT_REMOVED,
            Danger.ENDPOINT_LEAVING));
    assertThat(
        diff.changes().get(1).values().asJava(),
        contains(
            new ValueChange("rateTokensPerSecond", "500", "400"),
            new ValueChange("burstTokens", "20000", "30000")));
  }

  @Test
  void reportsRemovedKeysAndOwnerChanges() {
    String text =
        SampleDocument.TEXT
            .replaceAll("(?s)\\[key families-1].*?(?=\\[)", "")
            .replace("[account families]\nteam = office", "[account families]\nteam = sales");

    List<SectionChange> changes = between(text).changes();

    assertThat(changes.get(0).teams().asJava(), contains(TeamId.of("office"), TeamId.of("sales")));
    assertThat(changes.get(0).dangers().asJava(), empty());
    assertThat(changes.get(1).kind(), is(SectionChange.Kind.REMOVED));
    assertThat(changes.get(1).dangers().asJava(), contains(Danger.KEY_REMOVED));
  }

  @Test
  void reportsLoweredDomainShares() {
    String westB = "[domain west-b]\nteam = office\nregion = west\n";
    FleetDocument old = parse(SampleDocument.TEXT + westB);
    FleetDocument even = parse(SampleDocument.TEXT.replace("domainWeight.west-a = 3", "") + westB);

    assertThat(
        DocumentDiff.between(old, even).changes().head().dangers().asJava(),
        contains(Danger.DOMAIN_SHARE_LOWERED));
    assertThat(
        DocumentDiff.between(even, old).changes().head().dangers().asJava(),
        contains(Danger.DOMAIN_SHARE_LOWERED));
    assertThat(DocumentDiff.between(OLD, old).dangerous().asJava(), empty());
  }

  private static DocumentDiff between(String newText) {
    return DocumentDiff.between(OLD, parse(newText));
  }

  private static FleetDocument parse(String text) {
    return FleetDocumentParser.parse("new.ini", text).get();
  }
}
