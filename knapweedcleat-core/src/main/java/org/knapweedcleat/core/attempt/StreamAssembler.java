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
  private final int limit;
  private final InvariantMonitor monitor;
  private final TreeMap<Integer, AnswerToken> held = new TreeMap<>();
  private int next;
  private int stream;
  private long dropped;
  private boolean ended;

  private StreamAssembler(RequestId request, int first, int limit, InvariantMonitor monitor) {
    this.request = request;
    this.next = first;
    this.limit = limit;
    this.monitor = monitor;
  }

  /**
   * Returns an assembler that has no tokens yet.
   *
   * @param request the request
   * @param first the first position wanted
   * @param limit the length limit of the whole answer
   * @param monitor where invariants are checked
   * @return the assembler
   */
  public static StreamAssembler of(
      RequestId request, int first, int limit, InvariantMonitor monitor) {
    return new StreamAssembler(request, first, limit, monitor);
  }

  /**
   * Makes a stream the one whose tokens count; tokens held from an earlier one are dropped.
   *
   * @param number the stream, higher than any before
   */
  public void open(int number) {
    stream = number;
    held.clear();
  }

  /** Ends the time of the open stream; its late tokens are dropped. */
  public void close() {
    stream = NO_STREAM;
    held.clear();
  }

  /**
   * Takes a token.
   *
   * @param from the stream it came from
   * @param token the token
   * @return the tokens that can now be passed on, in order
   */
  public List<AnswerToken> accept(int from, AnswerToken token) {
    int position = token.position();
    if (ended || from != stream || position < next || position >= limit) {
      dropped++;
      return List.of();
    }
    if (held.putIfAbsent(position, token) != null) {
      dropped++;
    }
    return release();
  }

  /**
   * Ends the answer if it is whole.
   *
   * @param from the stream that ended
   * @param tokens the length of the whole answer as the endpoint says
   * @return false if the stream is over already or positions are missing
   */
  public boolean end(int from, int tokens) {
    if (ended || from != stream || tokens != next) {
      return false;
    }
    ended = true;
    return true;
  }

  /**
   * Checks that an answer that is said to be complete is whole and is the only one.
   *
   * @param tokens the length that the caller is told
   * @param endsBefore how many times the answer was ended before
   */
  public void checkEnd(int tokens, int endsBefore) {
    monitor.check(ended && tokens == next && held.isEmpty(), Invariant.ANSWER_WHOLE, request);
    monitor.check(endsBefore == 0, Invariant.ANSWERED_ONCE, request);
  }

  /**
   * Returns the first position that is still missing.
   *
   * @return the position
   */
  public int nextPosition() {
    return next;
  }

  /**
   * Counts the tokens that were dropped as late, doubled or out of range.
   *
   * @return the count
   */
  public long dropped() {
    return dropped;
  }

  private List<AnswerToken> release() {
    List<AnswerToken> ready = new ArrayList<>();
    while (held.containsKey(next)) {
      ready.add(held.remove(next));
      next++;
    }
    return ready;
  }
}
