package org.knapweedcleat.core.directory;

/** How the calls of a route may be repeated. */
public enum CallKind {
  /** A call without side effects, which may be repeated. */
  SAFE(true, false),
  /** A call with side effects, which runs at most once. */
  UNSAFE(false, false),
  /** An event stream, which may be repeated only if its route is resumable. */
  STREAM(false, true);

  private final boolean repeatable;
  private final boolean streamed;

  CallKind(boolean repeatable, boolean streamed) {
    this.repeatable = repeatable;
    this.streamed = streamed;
  }

  /**
   * Returns whether a call may run more than once.
   *
   * @param resumable whether a stream of the route can be resumed after an event
   * @return true if a second run does no harm
   */
  public boolean isRepeatable(boolean resumable) {
    return repeatable || (streamed && resumable);
  }

  /**
   * Returns whether responses are event streams.
   *
   * @return true for streams
   */
  public boolean isStreamed() {
    return streamed;
  }
}
