package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import io.vavr.control.Option;
import java.util.Locale;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known name that is closest to a misspelled one. */
public final class NameSuggester {

  private static final int MAX_COMPARED_CHARS = 64;
  private static final int MIN_DISTANCE = 2;

  private NameSuggester() {}

  /**
   * Finds the known name with the smallest edit distance.
   *
   * @param written the name as written
   * @param known the known names
   * @return the nearest name, if any is similar enough
   */
  public static Option<String> nearest(String written, Seq<String> known) {
    if (written.length() > MAX_COMPARED_CHARS) {
      return Option.none();
    }
    // Up to a third of the letters may differ; a higher limit would suggest unrelated names.
    int maxDistance = Math.max(MIN_DISTANCE, written.length() / 3);
    return known
        .minBy(name -> distance(written, name))
        .filter(name -> distance(written, name) <= maxDistance);
  }

  /**
   * Returns a suggestion for operators.
   *
   * @param written the name as written
   * @param known the known names
   * @return a question that ends in a space, or empty if no name is similar
   */
  public static String hint(String written, Seq<String> known) {
    return nearest(written, known).map(name -> "did you mean " + name + "? ").getOrElse("");
  }

  private static int distance(String one, String other) {
    return LevenshteinDistance.getDefaultInstance()
        .apply(one.toLowerCase(Locale.ROOT), other.toLowerCase(Locale.ROOT));
  }
}
