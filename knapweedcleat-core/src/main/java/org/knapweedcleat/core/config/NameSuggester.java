package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import io.vavr.control.Option;
import java.util.Locale;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that a mistyped one probably stands for. */
public final class NameSuggester {

  private static final int LONGEST_COMPARED = 64;
  private static final int MIN_DISTANCE = 2;

  private NameSuggester() {}

  /**
   * Finds the nearest name.
   *
   * @param written the name as written
   * @param known the names that there are
   * @return the nearest one, if any is near
   */
  public static Option<String> nearest(String written, Seq<String> known) {
    if (written.length() > LONGEST_COMPARED) {
      return Option.none();
    }
    // A third of the letters may differ; more would suggest names that have nothing in common.
    int limit = Math.max(MIN_DISTANCE, written.length() / 3);
    return known
        .minBy(name -> distance(written, name))
        .filter(name -> distance(written, name) <= limit);
  }

  /**
   * Returns a question for operators.
   *
   * @param written the name as written
   * @param known the names that there are
   * @return a question that ends in a space, empty if no name is near
   */
  public static String hint(String written, Seq<String> known) {
    return nearest(written, known).map(name -> "did you mean " + name + "? ").getOrElse("");
  }

  private static int distance(String one, String other) {
    return LevenshteinDistance.getDefaultInstance()
        .apply(one.toLowerCase(Locale.ROOT), other.toLowerCase(Locale.ROOT));
  }
}
