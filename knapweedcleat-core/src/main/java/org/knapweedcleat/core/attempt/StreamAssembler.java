package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * Puts the tokens of an answer in order, whatever streams they come from.
 *
 * <p>Tokens depend only on the prompt and the position, so a token from any stream is as good as
 * another's; a token of a stream that is over is dropped all the same, since the stream that
 * replaced it was asked for the rest.
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

  private StreamAssembler(RequestId request, int firstPosition, int maxTokens, InvariantMonitor monitor) {
    this.request = request;
    this.nextPosition = firstPosition;
    this.maxTokens = maxTokens;
    this.monitor = monitor;
  }

  /**
   * Returns an assembler that has no tokens yet.
   *
   * @param request the request
   * @param firstPosition the first position wanted
   * @param maxTokens the length limit of the whole answer
   * @param monitor where invariants are checked
   * @return the assembler
   */
  public static StreamAssembler of(
      RequestId request, int firstPosition, int maxTokens, InvariantMonitor monitor) {
    return new StreamAssembler(request, firstPosition, maxTokens, monitor);
  }

  /**
   * Makes a stream the one whose tokens count; tokens held from an earlier one are dropped.
   *
   * @param streamNumber the stream, higher than any before
   */
  public void open(int streamNumber) {
    openStream = streamNumber;
    pending.clear();
  }

  /** Ends the time of the open stream; its late tokens are dropped. */
  public void close() {
    openStream = NO_STREAM;
    pending.clear();
  }

  /**
   * Takes a token.
   *
   * @param streamNumber the stream it came from
   * @param token the token
   * @return the tokens that can now be passed on, in order
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
   * Ends the answer if it is whole.
   *
   * @param streamNumber the stream that ended
   * @param tokens the length of the whole answer as the endpoint says
   * @return false if the stream is over already or positions are missing
   */
  public boolean end(int streamNumber, int tokens) {
    if (ended || streamNumber != openStream || tokens != nextPosition) {
      return false;
    }
    ended = true;
    return true;
  }

  /**
   * Checks that an answer that is said to be complete is whole and is the only one.
   *
   * @param tokens the length that the caller is told
   * @param earlierEnds how many times the answer was ended before
   */
  public void checkCompletion(int tokens, int earlierEnds) {
    monitor.check(ended && tokens == nextPosition && pending.isEmpty(), Invariant.ANSWER_WHOLE, request);
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
   * Counts the tokens that were dropped as late, doubled or out of range.
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
