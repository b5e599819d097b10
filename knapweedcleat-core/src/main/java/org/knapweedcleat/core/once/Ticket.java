package org.knapweedcleat.core.once;

import java.util.Optional;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Lets a caller ask again safely: a call with it runs only through the incarnation that gave it.
 *
 * @param owner the incarnation that gave it
 * @param number its number there
 * @param mac shows that the owner gave it, and to which client account
 */
public record Ticket(IncarnationId owner, long number, String mac) {

  private static final char SEPARATOR = '.';

  /**
   * Reads the form that {@link #toString} writes.
   *
   * @param text the text
   * @return empty if it has another form
   */
  public static Optional<Ticket> parse(String text) {
    int second = text.lastIndexOf(SEPARATOR);
    int first = second < 1 ? -1 : text.lastIndexOf(SEPARATOR, second - 1);
    if (first < 1) {
      return Optional.empty();
    }
    try {
      IncarnationId owner = IncarnationId.parse(text.substring(0, first));
      long number = Long.parseLong(text.substring(first + 1, second));
      return Optional.of(new Ticket(owner, number, text.substring(second + 1)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return owner.toString() + SEPARATOR + number + SEPARATOR + mac;
  }
}
