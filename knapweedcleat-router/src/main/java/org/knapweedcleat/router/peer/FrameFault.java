package org.knapweedcleat.router.peer;

import java.util.Locale;

/** Reasons to reject a frame; each closes the connection and increments a counter. */
public enum FrameFault {
  /** The connection ended within a frame. */
  CUT,
  /** The frame exceeds the maximum length. */
  OVERSIZED,
  /** The frame is shorter than a header. */
  UNDERSIZED,
  /** The protocol version is not supported. */
  UNKNOWN_VERSION,
  /** The message type is not known to this version. */
  UNKNOWN_TYPE,
  /** The message cannot be decoded. */
  UNDECODABLE,
  /** The first message of the connection is not a hello. */
  NO_HELLO;

  /**
   * Returns the name of the counter of this fault.
   *
   * @return the metric's name
   */
  public String metricName() {
    return "peer.frames.rejected." + name().toLowerCase(Locale.ROOT);
  }
}
