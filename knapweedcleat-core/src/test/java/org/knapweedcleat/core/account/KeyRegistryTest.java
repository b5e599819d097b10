package org.knapweedcleat.core.account;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocumentParser;
import org.knapweedcleat.core.config.SampleDocument;
import org.knapweedcleat.core.id.AccountId;

class KeyRegistryTest {

  private static final KeyIdentity IDENTITY =
      new KeyIdentity(AccountId.of("families"), "families-1", KeyDigest.ofKey("example"));

  private final KeyRegistry registry = KeyRegistry.of(SampleDocument.document());

  @Test
  void authenticatesKeys() {
    assertThat(registry.authenticate("example"), is(Either.right(IDENTITY)));
    assertThat(registry.authenticate("Example"), is(Either.left(KeyRefusal.UNKNOWN)));
    assertThat(registry.authenticate(""), is(Either.left(KeyRefusal.MISSING)));
    assertThat(registry.authenticate(null), is(Either.left(KeyRefusal.MISSING)));
    assertThat(registry.authenticate("k".repeat(513)), is(Either.left(KeyRefusal.TOO_LONG)));
  }

  @Test
  void listsWithdrawnAndAddedKeys() {
    assertThat(
        KeyRegistry.empty().withdrawnSince(registry).asJava(), is(java.util.List.of(IDENTITY)));
    assertThat(registry.addedSince(KeyRegistry.empty()).asJava(), is(java.util.List.of(IDENTITY)));
    assertThat(registry.withdrawnSince(registry).asJava(), is(empty()));
  }

  @Test
  void treatsKeysMovedToAnotherAccountAsWithdrawn() {
    String moved =
        SampleDocument.TEXT.replace("account = families", "account = clerks")
            + "[account clerks]\nteam = office\nrateTokensPerSecond = 1\nburstTokens = 1\n";
    KeyRegistry newer = KeyRegistry.of(FleetDocumentParser.parse("f", moved).get());

    assertThat(newer.withdrawnSince(registry).asJava(), is(java.util.List.of(IDENTITY)));
    assertThat(newer.isStillValid(IDENTITY), is(false));
  }
}
