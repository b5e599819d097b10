package org.knapweedcleat.standins.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.engine.TokenGenerator;

/** The received part of a streamed response, checked against the expected output. */
public final class StreamedResponse {

  private final StreamRequest request;
  private final long seed;
  private final List<Long> tokenNanos = new ArrayList<>();
  private int status;
  private int nextPosition;
  private int wrongTokens;
  private boolean endReceived;
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
   * Tells whether all tokens and the end event were received, in order and with the expected text.
   *
   * @return true if the response is complete
   */
  public boolean isComplete() {
    return endReceived && wrongTokens == 0 && nextPosition == request.maxTokens();
  }

  /**
   * Tells whether the request was rejected without being executed.
   *
   * @return true if it is safe to send it again
   */
  public boolean isRejected() {
    return error != null && error.ran().equals("no");
  }

  /**
   * Returns the first token position that was not received.
   *
   * @return the position, from 0
   */
  public int nextPosition() {
    return nextPosition;
  }

  /**
   * Returns the number of tokens with an unexpected position or text.
   *
   * @return the count
   */
  public int wrongTokens() {
    return wrongTokens;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status; 0 if no response was received
   */
  public int status() {
    return status;
  }

  /**
   * Returns the head event.
   *
   * @return the event; null if none was received
   */
  public Head head() {
    return head;
  }

  /**
   * Returns the error from the response body or the error event.
   *
   * @return the error; null if there is none
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
      case "end" -> endReceived = true;
      case "error" -> error = Json.decodeValue(data, ErrorBody.class);
      default -> {
        // Comments and unknown events only keep the connection alive.
      }
    }
  }

  private void acceptToken(Token token, long nowNanos) {
    boolean correct =
        token.position() == nextPosition
            && token.text().equals(TokenGenerator.tokenAt(seed, token.position()));
    if (!correct) {
      wrongTokens++;
    }
    nextPosition = Math.max(nextPosition, token.position() + 1);
    tokenNanos.add(nowNanos);
  }

  /**
   * The first event of a response.
   *
   * @param request the request's id
   * @param instance the instance that serves the request
   * @param prefill the endpoint that prefills the prompt
   * @param decode the endpoint that decodes the output
   * @param continuation the token with which any instance can resume the response
   */
  public record Head(
      String request, String instance, String prefill, String decode, String continuation) {}

  /**
   * An error response.
   *
   * @param error the error's name
   * @param ran whether the request was executed: no, maybe or yes
   * @param retryAfterMillis the delay before a retry
   * @param message a human-readable description
   */
  public record ErrorBody(String error, String ran, long retryAfterMillis, String message) {}

  private record Token(int position, String text) {}
}
