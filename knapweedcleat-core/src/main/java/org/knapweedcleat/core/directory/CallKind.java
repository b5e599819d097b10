package org.knapweedcleat.core.directory;

/** What may be done again with a call of a route. */
public enum CallKind {
  /** A lookup; running it again changes nothing. */
  SAFE(true, false),
  /** A call with a side effect, which runs at most once. */
  UNSAFE(false, false),
  /** A stream of events; it runs once unless its route says that it can be resumed. */
  STREAM(false, true);

  private final boolean repeatable;
  private final boolean streamed;

  CallKind(boolean repeatable, boolean streamed) {
    this.repeatable = repeatable;
    this.streamed = streamed;
  }

  /**
   * Tells whether a call may run more than once.
   *
   * @param resumable whether the route allows to go on from an event
   * @return true if a second run does no harm
   */
  public boolean isRepeatable(boolean resumable) {
    return repeatable || (streamed && resumable);
  }

  /**
   * Tells whether answers are streams of events.
   *
   * @return true for streams
   */
  public boolean isStreamed() {
    return streamed;
  }
}
