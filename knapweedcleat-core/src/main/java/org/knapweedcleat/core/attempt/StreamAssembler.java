package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * Assembles the tokens of an answer in order from one or more decode streams.
 *
 * <p>Tokens depend only on the prompt and the position, so streams are interchangeable. Tokens of a
 * closed stream are dropped anyway, because the stream that replaced it delivers the rest.
 */
public final class StreamAssembler {

  private static final int NO_STREAM = 0;

  private final RequestId request;
  private final int maxTokens;
  private final InvariantMonitor monitor;
  private final TreeMap<Integer, AnswerToken> pending = new TreeMap<>();
  private int nextPosition;
  private int openStream;
  private long droppedTokens;
  private boolean ended;

  private StreamAssembler(
      RequestId request, int firstPosition, int maxTokens, InvariantMonitor monitor) {
    this.request = request;
    this.nextPosition = firstPosition;
    this.maxTokens = maxTokens;
    this.monitor = monitor;
  }

  /**
   * Returns an assembler without tokens.
   *
   * @param request the request
   * @param firstPosition the first position of the answer to deliver
   * @param maxTokens the token limit of the whole answer
   * @param monitor records invariant violations
   * @return the assembler
   */
  public static StreamAssembler of(
      RequestId request, int firstPosition, int maxTokens, InvariantMonitor monitor) {
    return new StreamAssembler(request, firstPosition, maxTokens, monitor);
  }

  /**
   * Accepts tokens of the given stream only, and discards pending tokens of an earlier stream.
   *
   * @param streamNumber the number of the stream, higher than any before
   */
  public void open(int streamNumber) {
    openStream = streamNumber;
    pending.clear();
  }

  /** Closes the open stream; its late tokens are dropped. */
  public void close() {
    openStream = NO_STREAM;
    pending.clear();
  }

  /**
   * Accepts a token.
   *
   * @param streamNumber the stream that delivered the token
   * @param token the token
   * @return the tokens that can now be sent, in order
   */
  public List<AnswerToken> accept(int streamNumber, AnswerToken token) {
    int position = token.position();
    if (ended || streamNumber != openStream || position < nextPosition || position >= maxTokens) {
      droppedTokens++;
      return List.of();
    }
    if (pending.putIfAbsent(position, token) != null) {
      droppedTokens++;
    }
    return takeReady();
  }

  /**
   * Ends the answer if it is complete.
   *
   * @param streamNumber the stream that ended
   * @param tokens the number of tokens in the whole answer according to the endpoint
   * @return false if the answer has ended, the stream is not open, or positions are missing
   */
  public boolean end(int streamNumber, int tokens) {
    if (ended || streamNumber != openStream || tokens != nextPosition) {
      return false;
    }
    ended = true;
    return true;
  }

  /**
   * Checks that a completed answer has no gaps and was not completed before.
   *
   * @param tokens the number of tokens reported to the caller
   * @param earlierEnds how many times the answer was completed before
   */
  public void checkCompletion(int tokens, int earlierEnds) {
    monitor.check(
        ended && tokens == nextPosition && pending.isEmpty(), Invariant.ANSWER_WHOLE, request);
    monitor.check(earlierEnds == 0, Invariant.ANSWERED_ONCE, request);
  }

  /**
   * Returns the first position that is still missing.
   *
   * @return the position
   */
  public int nextPosition() {
    return nextPosition;
  }

  /**
   * Returns the number of tokens dropped as late, duplicate or out of range.
   *
   * @return the count
   */
  public long droppedTokens() {
    return droppedTokens;
  }

  private List<AnswerToken> takeReady() {
    List<AnswerToken> ready = new ArrayList<>();
    while (pending.containsKey(nextPosition)) {
      ready.add(pending.remove(nextPosition));
      nextPosition++;
    }
    return ready;
  }
}
