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
 * Puts a document together that was published in parts under a manifest.
 *
 * <p>A manifest's first line is {@code manifest}; each other line is {@code part} and the SHA-256
 * of the part. The parts in that order, with nothing between them, are the document.
 */
public final class DocumentPartAssembler {

  /** The most parts that a manifest may name. */
  public static final int MAX_PARTS = 64;

  private static final String FIRST_LINE = "manifest";
  private static final Pattern PART = Pattern.compile("part ([0-9a-f]{64})");

  private final List<String> digests;
  private final Map<String, String> texts = new HashMap<>();

  private DocumentPartAssembler(List<String> digests) {
    this.digests = digests;
  }

  /**
   * Tells whether a published value is a manifest rather than a document.
   *
   * @param value the value
   * @return true for a manifest
   */
  public static boolean isManifest(String value) {
    return value.lines().findFirst().filter(line -> line.trim().equals(FIRST_LINE)).isPresent();
  }

  /**
   * Returns the collection of the parts that a manifest names.
   *
   * @param fileName the name to show in faults
   * @param manifest the manifest
   * @return the collection, or what is wrong with the manifest
   */
  public static Either<Seq<ConfigFault>, DocumentPartAssembler> of(String fileName, String manifest) {
    Vector<String> lines = Vector.ofAll(manifest.lines().map(String::trim).toList());
    if (!isManifest(manifest)) {
      return Either.left(List.of(fault(fileName, 1, lines.headOption().getOrElse(""), FIRST_LINE)));
    }
    Seq<ConfigFault> faults =
        lines
            .zipWithIndex()
            .tail()
            .reject(line -> line._1.isEmpty() || PART.matcher(line._1).matches())
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
   * Returns the name of the value under which a part is published.
   *
   * @param documentName the name of the document's value
   * @param digest the digest of the part
   * @return the name
   */
  public static String valueName(String documentName, String digest) {
    return documentName + ".part." + digest;
  }

  /**
   * Adds a part.
   *
   * @param digest the digest by which it was asked for
   * @param text its text
   * @return whether it was kept
   */
  public PartOutcome add(String digest, String text) {
    if (!digests.contains(digest)) {
      return PartOutcome.NOT_NAMED;
    }
    if (!Sha256.hexOf(text).equals(digest)) {
      return PartOutcome.WRONG_DIGEST;
    }
    texts.put(digest, text);
    return PartOutcome.ACCEPTED;
  }

  /**
   * Lists the parts that are still missing.
   *
   * @return their digests in the order of the manifest
   */
  public Seq<String> missingDigests() {
    return digests.distinct().reject(texts::containsKey);
  }

  /**
   * Returns the document.
   *
   * @return the text, or nothing while a part is missing
   */
  public Option<String> text() {
    return Option.when(missingDigests().isEmpty(), () -> digests.map(texts::get).mkString());
  }

  private static ConfigFault fault(String file, int line, String found, String allowed) {
    return new ConfigFault(ConfigFaultKind.BAD_MANIFEST, file, line, "", "", found, allowed);
  }
}
