package org.knapweedcleat.core.config;

import org.knapweedcleat.core.account.KeyDigest;

/** A small valid document for tests. */
public final class SampleDocument {

  /** The document text; the API key of client account {@code families} is {@code example}. */
  public static final String TEXT =
      """
      # A comment.
      [deployment sample]
      team = office
      [region west]
      team = office
      [region east]
      team = office
      [domain west-a]
      team = office
      region = west
      [link west east]
      team = office
      rateKilobitsPerSecond = 20000
      delayMillis = 30
      [pool horn]
      team = engines
      kind = split
      model = horn-7b
      kvBytesPerToken = 131072
      evictionMillis = 800
      [pool desk]
      team = desk
      kind = plain
      [service notes]
      team = lessons
      pool = horn
      firstTokenTargetMillis = 20000
      [service bookings]
      team = desk
      pool = desk
      firstTokenTargetMillis = 1500
      [route notes]
      team = lessons
      method = POST
      path = /notes
      service = notes
      safety = idempotent
      [route book]
      team = desk
      method = POST
      path = /bookings
      service = bookings
      safety = at-most-once
      [account families]
      team = office
      rateTokensPerSecond = 500
      burstTokens = 20000
      domainWeight.west-a = 3
      [key families-1]
      team = office
      account = families
      digest = %s
      [endpoint horn-p1]
      team = engines
      pool = horn
      role = prefill
      domain = west-a
      host = 127.0.1.1
      port = 9101
      memoryPieces = 20
      [endpoint horn-d1]
      team = engines
      pool = horn
      role = decode
      domain = west-a
      host = 127.0.1.1
      port = 9102
      memoryPieces = 20
      checksFencing = yes
      [endpoint desk-1]
      team = desk
      pool = desk
      role = plain
      domain = west-a
      host = 127.0.1.1
      port = 9201
      """
          .formatted(KeyDigest.ofKey("example"));

  private SampleDocument() {}

  /**
   * Returns the parsed document.
   *
   * @return the document
   */
  public static FleetDocument document() {
    return FleetDocumentParser.parse("sample.ini", TEXT).get();
  }
}
