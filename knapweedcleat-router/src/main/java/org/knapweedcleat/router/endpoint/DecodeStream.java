package org.knapweedcleat.router.endpoint;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.CallFailure;

/** Reads the tokens of one decode call; fails if nothing arrives within the idle time-out. */
public final class DecodeStream {

  private static final long IDLE_TIMEOUT_MILLIS = 3_000;
  private static final int MAX_EVENT_BYTES = 64 << 10;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;

  private final Vertx vertx;
  private final DecodeListener listener;
  private HttpClientResponse response;
  private long idleTimer;
  private boolean closed;

  private DecodeStream(Vertx vertx, DecodeListener listener) {
    this.vertx = vertx;
    this.listener = listener;
  }

  static DecodeStream of(Vertx vertx, DecodeListener listener) {
    return new DecodeStream(vertx, listener);
  }

  /** Stops reading; the listener is not called again. */
  public void close() {
    if (!closed) {
      closed = true;
      release();
    }
  }

  void onResponse(Either<CallFailure, HttpClientResponse> result) {
    if (result.isLeft()) {
      fail(result.getLeft());
      return;
    }
    response = result.get();
    response.exceptionHandler(failure -> fail(CallFailure.UNKNOWN));
    if (closed) {
      response.request().reset();
    } else if (response.statusCode() != 200) {
      int status = response.statusCode();
      fail(
          status == STATUS_NOT_FOUND || status == STATUS_GONE
              ? CallFailure.NOT_HELD
              : CallFailure.UNKNOWN);
    } else {
      read();
    }
  }

  private void read() {
    restartIdleTimer();
    RecordParser parser = RecordParser.newDelimited("\n\n", this::onEvent);
    parser.maxRecordSize(MAX_EVENT_BYTES);
    parser.exceptionHandler(failure -> fail(CallFailure.UNKNOWN));
    response.endHandler(ended -> fail(CallFailure.UNKNOWN));
    response.handler(parser);
  }

  private void onEvent(Buffer record) {
    if (closed) {
      return;
    }
    restartIdleTimer();
    String eventName = "";
    String data = "";
    for (String line : record.toString().split("\n")) {
      if (line.startsWith("event:")) {
        eventName = line.substring("event:".length()).strip();
      } else if (line.startsWith("data:")) {
        data = line.substring("data:".length()).strip();
      }
    }
    handleEvent(eventName, data);
  }

  private void handleEvent(String eventName, String data) {
    JsonObject json = parseJson(data);
    if (eventName.equals("token")
        && json.getValue("position") instanceof Integer position
        && json.getValue("text") instanceof String text) {
      listener.onToken(new AnswerToken(position, text));
    } else if (eventName.equals("end") && json.getValue("tokens") instanceof Integer tokens) {
      closed = true;
      vertx.cancelTimer(idleTimer);
      listener.onEnd(tokens);
    } else {
      fail(CallFailure.UNKNOWN);
    }
  }

  private static JsonObject parseJson(String data) {
    try {
      return new JsonObject(data);
    } catch (DecodeException | ClassCastException e) {
      return new JsonObject();
    }
  }

  private void fail(CallFailure failure) {
    if (!closed) {
      closed = true;
      release();
      listener.onFailure(failure);
    }
  }

  private void release() {
    vertx.cancelTimer(idleTimer);
    if (response != null) {
      response.request().reset();
    }
  }

  private void restartIdleTimer() {
    vertx.cancelTimer(idleTimer);
    idleTimer = vertx.setTimer(IDLE_TIMEOUT_MILLIS, id -> fail(CallFailure.SILENT));
  }
}
