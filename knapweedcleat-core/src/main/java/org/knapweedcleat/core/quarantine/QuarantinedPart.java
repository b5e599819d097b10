package org.knapweedcleat.core.quarantine;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * A part of prompts under which engines crashed.
 *
 * @param part the part
 * @param companions the part itself and the parts that all its crashing requests had besides; while
 *     there are any, the crashes may be due to one of those
 * @param crashedEngines the number of engines that were lost
 * @param requests the number of requests that lost them
 * @param lastLossAtMillis when the last of them was lost
 */
public record QuarantinedPart(
    PromptPartId part,
    Set<PromptPartId> companions,
    int crashedEngines,
    int requests,
    long lastLossAtMillis) {

  /** Copies the companions. */
  public QuarantinedPart {
    companions = Set.copyOf(companions);
  }

  /**
   * Tells whether a request must not be sent.
   *
   * @param parts the parts of its prompt
   * @return true if it has this part and all its companions
   */
  public boolean matches(Collection<PromptPartId> parts) {
    return parts.contains(part) && parts.containsAll(companions);
  }

  /**
   * Describes the part for the log.
   *
   * @return the part, what it was seen with and how often
   */
  public String describe() {
    return "part "
        + part
        + " (with "
        + new TreeSet<>(companions)
        + ") crashed "
        + crashedEngines
        + " engines in "
        + requests
        + " requests";
  }
}
