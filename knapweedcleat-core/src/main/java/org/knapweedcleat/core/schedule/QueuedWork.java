package org.knapweedcleat.core.schedule;

/**
 * Work that waits.
 *
 * @param requests how many requests
 * @param promptTokens prompt tokens to be read
 * @param pieces engine memory to be reserved
 */
record QueuedWork(double requests, double promptTokens, double pieces) {

  static final QueuedWork NONE = new QueuedWork(0, 0, 0);

  QueuedWork plus(QueuedRequest waiting) {
    return new QueuedWork(
        requests + 1, promptTokens + waiting.request().promptTokens(), pieces + waiting.pieces());
  }

  QueuedWork plus(QueuedWork other) {
    return new QueuedWork(
        requests + other.requests, promptTokens + other.promptTokens, pieces + other.pieces);
  }

  /** Returns the part of the work that a turn of the given size covers. */
  QueuedWork limitedTo(double tokens) {
    if (tokens >= promptTokens) {
      return this;
    }
    double part = tokens / promptTokens;
    return new QueuedWork(requests * part, tokens, pieces * part);
  }
}
