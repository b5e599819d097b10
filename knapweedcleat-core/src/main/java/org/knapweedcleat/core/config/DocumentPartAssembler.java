package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.knapweedcleat.core.account.Sha256;

/**
 * Reassembles a document that was published as several parts listed in a manifest.
 *
 * <p>The first line of a manifest is {@code manifest}; each further line is {@code part} followed
 * by the SHA-256 digest of a part. The document is the concatenation of the parts in that order.
 */
public final class DocumentPartAssembler {

  /** The maximum number of parts in a manifest. */
  public static final int MAX_PARTS = 64;

  private static final String MANIFEST_HEADER = "manifest";
  private static final Pattern PART_LINE = Pattern.compile("part ([0-9a-f]{64})");

  private final List<String> digests;
  private final Map<String, String> textsByDigest = new HashMap<>();

  private DocumentPartAssembler(List<String> digests) {
    this.digests = digests;
  }

  /**
   * Returns whether a published value is a manifest rather than a document.
   *
   * @param value the published value
   * @return true for a manifest
   */
  public static boolean isManifest(String value) {
    return value
        .lines()
        .findFirst()
        .filter(line -> line.trim().equals(MANIFEST_HEADER))
        .isPresent();
  }

  /**
   * Creates an assembler for the parts listed in a manifest.
   *
   * @param fileName the name to show in faults
   * @param manifest the manifest
   * @return the assembler, or the faults of the manifest
   */
  public static Either<Seq<ConfigFault>, DocumentPartAssembler> of(
      String fileName, String manifest) {
    Vector<String> lines = Vector.ofAll(manifest.lines().map(String::trim).toList());
    if (!isManifest(manifest)) {
      return Either.left(
          List.of(fault(fileName, 1, lines.headOption().getOrElse(""), MANIFEST_HEADER)));
    }
    Seq<ConfigFault> faults =
        lines
            .zipWithIndex()
            .tail()
            .reject(line -> line._1.isEmpty() || PART_LINE.matcher(line._1).matches())
            .map(line -> fault(fileName, line._2 + 1, line._1, "part and 64 hexadecimal digits"));
    Seq<String> parts = lines.tail().reject(String::isEmpty);
    if (parts.isEmpty() || parts.size() > MAX_PARTS) {
      String allowed = "1 to " + MAX_PARTS + " lines of parts";
      faults = faults.append(fault(fileName, 1, parts.size() + " lines of parts", allowed));
    }
    return faults.isEmpty()
        ? Either.right(new DocumentPartAssembler(parts.map(line -> line.substring(5)).toList()))
        : Either.left(faults);
  }

  /**
   * Returns the name of the published value that holds a part.
   *
   * @param documentName the name of the value that holds the document
   * @param digest the digest of the part
   * @return the name of the part's value
   */
  public static String valueName(String documentName, String digest) {
    return documentName + ".part." + digest;
  }

  /**
   * Adds a part if its content matches its digest.
   *
   * @param digest the digest by which the part was requested
   * @param text the text of the part
   * @return whether the part was accepted
   */
  public PartOutcome add(String digest, String text) {
    if (!digests.contains(digest)) {
      return PartOutcome.NOT_NAMED;
    }
    if (!Sha256.hexOf(text).equals(digest)) {
      return PartOutcome.WRONG_DIGEST;
    }
    textsByDigest.put(digest, text);
    return PartOutcome.ACCEPTED;
  }

  /**
   * Lists the parts that have not been added yet.
   *
   * @return their digests in manifest order
   */
  public Seq<String> missingDigests() {
    return digests.distinct().reject(textsByDigest::containsKey);
  }

  /**
   * Returns the assembled document.
   *
   * @return the text, or none while parts are missing
   */
  public Option<String> text() {
    return Option.when(
        missingDigests().isEmpty(), () -> digests.map(textsByDigest::get).mkString());
  }

  private static ConfigFault fault(String file, int line, String found, String allowed) {
    return new ConfigFault(ConfigFaultKind.BAD_MANIFEST, file, line, "", "", found, allowed);
  }
}
