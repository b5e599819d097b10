package org.knapweedcleat.standins.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Builds the configuration document of a small deployment with two failure domains. */
final class FleetDocumentBuilder {

  private static final String BASE =
      """
      [deployment small]
      team = office
      [region west]
      team = office
      [domain a]
      team = office
      region = west
      [domain b]
      team = office
      region = west
      [pool tutor]
      team = engines
      kind = split
      model = horn-7b
      kvBytesPerToken = 64
      evictionMillis = 800
      [pool desk]
      team = desk
      kind = plain
      [service notes]
      team = lessons
      pool = tutor
      firstTokenTargetMillis = 20000
      tokenGapTargetMillis = 500
      [service bookings]
      team = desk
      pool = desk
      firstTokenTargetMillis = 5000
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
      [route lookup]
      team = desk
      method = POST
      path = /lookups
      service = bookings
      safety = idempotent
      """;

  private final List<String> sections = new ArrayList<>(List.of(BASE));

  private FleetDocumentBuilder() {}

  static FleetDocumentBuilder create() {
    return new FleetDocumentBuilder();
  }

  FleetDocumentBuilder account(String name, long rateTokensPerSecond, long burstTokens) {
    sections.add(
        section(
            "account " + name,
            "rateTokensPerSecond = " + rateTokensPerSecond,
            "burstTokens = " + burstTokens));
    return this;
  }

  FleetDocumentBuilder key(String key, String account) {
    sections.add(section("key " + key, "account = " + account, "digest = " + digest(key)));
    return this;
  }

  FleetDocumentBuilder engine(String id, String role, int port) {
    sections.add(endpoint(id, "tutor", role, port, "memoryPieces = 20"));
    return this;
  }

  FleetDocumentBuilder plainEndpoint(String id, int port) {
    sections.add(endpoint(id, "desk", "plain", port, "checksFencing = no"));
    return this;
  }

  String build() {
    return String.join("", sections);
  }

  /** Returns the document without a key of the main account. */
  String withoutKey(String key) {
    return build().replace(section("key " + key, "account = main", "digest = " + digest(key)), "");
  }

  /** Returns the document with an endpoint marked as leaving. */
  String withLeavingEndpoint(String id) {
    return build().replace("[endpoint " + id + "]\n", "[endpoint " + id + "]\nstate = leaving\n");
  }

  private static String endpoint(String id, String pool, String role, int port, String extraLine) {
    return section(
        "endpoint " + id,
        "pool = " + pool,
        "role = " + role,
        "domain = " + id.charAt(1),
        "host = 127.0.0.1",
        "port = " + port,
        extraLine);
  }

  private static String section(String name, String... lines) {
    return "[" + name + "]\nteam = office\n" + String.join("\n", lines) + "\n";
  }

  private static String digest(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
