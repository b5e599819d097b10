package org.knapweedcleat.core.listener;

/** Why a listener closes a connection. */
public enum CloseReason {
  /** The listener has reached its number of connections. */
  CONNECTIONS,
  /** The connections of the listener hold more memory than they may. */
  MEMORY,
  /** A request stopped short or an unread response made no progress for too long. */
  STALLED,
  /** A head has too many lines. */
  HEADER_LINES,
  /** Too many requests were sent ahead of their responses. */
  PIPELINE;

  /**
   * Returns the name in metrics and log lines.
   *
   * @return lower-case letters and underscores
   */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
