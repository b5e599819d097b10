package org.knapweedcleat.standins.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.engine.TokenText;

/** What a caller received of one answer. */
public final class StreamedAnswer {

  private final StreamRequest request;
  private final long seed;
  private final List<Long> tokenNanos = new ArrayList<>();
  private int status;
  private int next;
  private int wrongTokens;
  private boolean ended;
  private Head head;
  private ErrorBody error;

  private StreamedAnswer(StreamRequest request) {
    this.request = request;
    this.seed = TokenText.seed(request.prompt());
    this.next = request.nextPosition();
  }

  static StreamedAnswer of(StreamRequest request) {
    return new StreamedAnswer(request);
  }

  /**
   * Tells whether each token came once, in order, with the right text, up to the end.
   *
   * @return true for a whole answer
   */
  public boolean isWhole() {
    return ended && wrongTokens == 0 && next == request.maxTokens();
  }

  /**
   * Tells whether the request was refused and has not run.
   *
   * @return true if it may be sent again
   */
  public boolean isRefused() {
    return error != null && error.ran().equals("no");
  }

  /**
   * Returns the first position that was not received.
   *
   * @return the position, from 0
   */
  public int next() {
    return next;
  }

  /**
   * Returns how many tokens came at a wrong position or with a wrong text.
   *
   * @return the count
   */
  public int wrongTokens() {
    return wrongTokens;
  }

  /**
   * Returns the HTTP status.
   *
   * @return 0 when no answer began
   */
  public int status() {
    return status;
  }

  /**
   * Returns what the answer began with.
   *
   * @return null when it did not begin
   */
  public Head head() {
    return head;
  }

  /**
   * Returns the error that the answer consisted of or ended with.
   *
   * @return null when there was none
   */
  public ErrorBody error() {
    return error;
  }

  List<Long> tokenNanos() {
    return tokenNanos;
  }

  void begin(int newStatus) {
    status = newStatus;
  }

  void refuse(Buffer body) {
    error = body.length() == 0 ? null : Json.decodeValue(body, ErrorBody.class);
  }

  void event(String text, long nowNanos) {
    String name = "";
    String data = "";
    for (String line : text.split("\n")) {
      if (line.startsWith("event:")) {
        name = line.substring("event:".length()).strip();
      } else if (line.startsWith("data:")) {
        data = line.substring("data:".length()).strip();
      }
    }
    accept(name, data, nowNanos);
  }

  private void accept(String name, String data, long nowNanos) {
    switch (name) {
      case "head" -> head = Json.decodeValue(data, Head.class);
      case "token" -> token(Json.decodeValue(data, Token.class), nowNanos);
      case "end" -> ended = true;
      case "error" -> error = Json.decodeValue(data, ErrorBody.class);
      default -> {
        // Comments and unknown events keep a connection alive and carry nothing.
      }
    }
  }

  private void token(Token token, long nowNanos) {
    boolean right =
        token.position() == next && token.text().equals(TokenText.at(seed, token.position()));
    if (!right) {
      wrongTokens++;
    }
    next = Math.max(next, token.position() + 1);
    tokenNanos.add(nowNanos);
  }

  /**
   * The first event of an answer.
   *
   * @param request the request's id
   * @param instance the instance that serves it
   * @param prefill the endpoint that prefilled it
   * @param decode the endpoint that decodes it
   * @param continuation lets any instance continue it
   */
  public record Head(
      String request, String instance, String prefill, String decode, String continuation) {}

  /**
   * An error answer.
   *
   * @param error its name
   * @param ran no, maybe or yes
   * @param retryAfterMillis when to come back
   * @param message for people
   */
  public record ErrorBody(String error, String ran, long retryAfterMillis, String message) {}

  private record Token(int position, String text) {}
}
