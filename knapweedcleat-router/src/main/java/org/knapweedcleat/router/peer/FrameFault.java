package org.knapweedcleat.router.peer;

import java.util.Locale;

/** Why a frame is not accepted; each closes its connection and is counted. */
public enum FrameFault {
  /** The connection ended inside a frame. */
  CUT,
  /** The frame is longer than the limit. */
  OVERSIZED,
  /** The frame is too short to hold a header. */
  UNDERSIZED,
  /** The frame has another protocol version. */
  UNKNOWN_VERSION,
  /** The frame has a message type that this version does not know. */
  UNKNOWN_TYPE,
  /** The message does not decode. */
  UNDECODABLE,
  /** The connection did not begin with a hello. */
  NO_HELLO;

  /**
   * Returns the name of the counter.
   *
   * @return the metric's name
   */
  public String metricName() {
    return "peer.frames.rejected." + name().toLowerCase(Locale.ROOT);
  }
}
