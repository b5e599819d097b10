package org.knapweedcleat.core.once;

import java.util.Optional;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Allows a caller to retry a call safely, because a call with a ticket only runs through the
 * incarnation that issued the ticket.
 *
 * @param owner the incarnation that issued the ticket
 * @param number the ticket's number within that incarnation
 * @param mac an authentication code that proves the issuer and the client account
 */
public record Ticket(IncarnationId owner, long number, String mac) {

  private static final char SEPARATOR = '.';

  /**
   * Parses the format that {@link #toString} writes.
   *
   * @param text the text
   * @return the ticket, or empty if the text is malformed
   */
  public static Optional<Ticket> parse(String text) {
    int lastSeparator = text.lastIndexOf(SEPARATOR);
    int firstSeparator = lastSeparator < 1 ? -1 : text.lastIndexOf(SEPARATOR, lastSeparator - 1);
    if (firstSeparator < 1) {
      return Optional.empty();
    }
    try {
      IncarnationId owner = IncarnationId.parse(text.substring(0, firstSeparator));
      long number = Long.parseLong(text.substring(firstSeparator + 1, lastSeparator));
      return Optional.of(new Ticket(owner, number, text.substring(lastSeparator + 1)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return owner.toString() + SEPARATOR + number + SEPARATOR + mac;
  }
}
