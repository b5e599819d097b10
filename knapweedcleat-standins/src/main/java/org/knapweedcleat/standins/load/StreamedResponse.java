package org.knapweedcleat.standins.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.engine.TokenGenerator;

/** What a caller received of one answer. */
public final class StreamedResponse {

  private final StreamRequest request;
  private final long seed;
  private final List<Long> tokenNanos = new ArrayList<>();
  private int status;
  private int nextPosition;
  private int wrongTokens;
  private boolean ended;
  private Head head;
  private ErrorBody error;

  private StreamedResponse(StreamRequest request) {
    this.request = request;
    this.seed = TokenGenerator.seed(request.prompt());
    this.nextPosition = request.nextPosition();
  }

  static StreamedResponse of(StreamRequest request) {
    return new StreamedResponse(request);
  }

  /**
   * Tells whether each token came once, in order, with the right text, up to the end.
   *
   * @return true for a whole answer
   */
  public boolean isComplete() {
    return ended && wrongTokens == 0 && nextPosition == request.maxTokens();
  }

  /**
   * Tells whether the request was refused and has not run.
   *
   * @return true if it may be sent again
   */
  public boolean isRejected() {
    return error != null && error.ran().equals("no");
  }

  /**
   * Returns the first position that was not received.
   *
   * @return the position, from 0
   */
  public int nextPosition() {
    return nextPosition;
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

  void setStatus(int newStatus) {
    status = newStatus;
  }

  void setErrorBody(Buffer body) {
    error = body.length() == 0 ? null : Json.decodeValue(body, ErrorBody.class);
  }

  void parseEvent(String text, long nowNanos) {
    String name = "";
    String data = "";
    for (String line : text.split("\n")) {
      if (line.startsWith("event:")) {
        name = line.substring("event:".length()).strip();
      } else if (line.startsWith("data:")) {
        data = line.substring("data:".length()).strip();
      }
    }
    handleEvent(name, data, nowNanos);
  }

  private void handleEvent(String name, String data, long nowNanos) {
    switch (name) {
      case "head" -> head = Json.decodeValue(data, Head.class);
      case "token" -> acceptToken(Json.decodeValue(data, Token.class), nowNanos);
      case "end" -> ended = true;
      case "error" -> error = Json.decodeValue(data, ErrorBody.class);
      default -> {
        // Comments and unknown events keep a connection alive and carry nothing.
      }
    }
  }

  private void acceptToken(Token token, long nowNanos) {
    boolean right =
        token.position() == nextPosition && token.text().equals(TokenGenerator.tokenAt(seed, token.position()));
    if (!right) {
      wrongTokens++;
    }
    nextPosition = Math.max(nextPosition, token.position() + 1);
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
