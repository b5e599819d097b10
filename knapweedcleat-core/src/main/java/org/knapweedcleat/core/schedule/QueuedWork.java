package org.knapweedcleat.core.schedule;

/**
 * An amount of queued work.
 *
 * @param requests the number of requests
 * @param promptTokens the prompt tokens to process
 * @param pieces the memory pieces to reserve
 */
record QueuedWork(double requests, double promptTokens, double pieces) {

  static final QueuedWork NONE = new QueuedWork(0, 0, 0);

  QueuedWork plus(QueuedRequest queued) {
    return new QueuedWork(
        requests + 1, promptTokens + queued.request().promptTokens(), pieces + queued.pieces());
  }

  QueuedWork plus(QueuedWork other) {
    return new QueuedWork(
        requests + other.requests, promptTokens + other.promptTokens, pieces + other.pieces);
  }

  /** Scales the work down to the given number of prompt tokens. */
  QueuedWork limitedTo(double tokens) {
    if (tokens >= promptTokens) {
      return this;
    }
    double part = tokens / promptTokens;
    return new QueuedWork(requests * part, tokens, pieces * part);
  }
}
