package org.knapweedcleat.bench;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.AccountId;

/** The rate and burst of each client account, divided into equal parts. */
final class Limits {

  private final FleetDocument document;
  private final int parts;
  private final Map<Part, TokenBucket> buckets = new HashMap<>();

  private Limits(FleetDocument document, int parts) {
    this.document = document;
    this.parts = parts;
  }

  /** Returns limits that hold exactly over all instances together. */
  static Limits exact(FleetDocument document) {
    return new Limits(document, 1);
  }

  /** Returns limits of which each instance has a fixed part. */
  static Limits fixedShares(FleetDocument document, int instances) {
    return new Limits(document, instances);
  }

  boolean take(long nowMicros, AccountId account, int instance, long tokens) {
    return buckets
        .computeIfAbsent(new Part(account, instance % parts), this::create)
        .take(nowMicros, tokens);
  }

  private TokenBucket create(Part part) {
    AccountSpec spec = document.accounts().get(part.account());
    return TokenBucket.of(
        (double) spec.rateTokensPerSecond() / parts, (double) spec.burstTokens() / parts);
  }

  private record Part(AccountId account, int number) {}
}
