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

/** Reads the tokens of one decode call; a stream that is silent for too long counts as broken. */
public final class DecodeStream {

  private static final long IDLE_MILLIS = 3_000;
  private static final int MAX_EVENT_BYTES = 64 << 10;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;

  private final Vertx vertx;
  private final DecodeListener listener;
  private HttpClientResponse response;
  private long timer;
  private boolean over;

  private DecodeStream(Vertx vertx, DecodeListener listener) {
    this.vertx = vertx;
    this.listener = listener;
  }

  static DecodeStream of(Vertx vertx, DecodeListener listener) {
    return new DecodeStream(vertx, listener);
  }

  /** Stops reading; the listener hears nothing more. */
  public void close() {
    if (!over) {
      over = true;
      release();
    }
  }

  void opened(Either<CallFailure, HttpClientResponse> result) {
    if (result.isLeft()) {
      breakOff(result.getLeft());
      return;
    }
    response = result.get();
    response.exceptionHandler(failure -> breakOff(CallFailure.UNKNOWN));
    if (over) {
      response.request().reset();
    } else if (response.statusCode() != 200) {
      int status = response.statusCode();
      breakOff(status == NOT_FOUND || status == GONE ? CallFailure.NOT_HELD : CallFailure.UNKNOWN);
    } else {
      read();
    }
  }

  private void read() {
    restartTimer();
    RecordParser parser = RecordParser.newDelimited("\n\n", this::event);
    parser.maxRecordSize(MAX_EVENT_BYTES);
    parser.exceptionHandler(failure -> breakOff(CallFailure.UNKNOWN));
    response.endHandler(ended -> breakOff(CallFailure.UNKNOWN));
    response.handler(parser);
  }

  private void event(Buffer record) {
    if (over) {
      return;
    }
    restartTimer();
    String name = "";
    String data = "";
    for (String line : record.toString().split("\n")) {
      if (line.startsWith("event:")) {
        name = line.substring("event:".length()).strip();
      } else if (line.startsWith("data:")) {
        data = line.substring("data:".length()).strip();
      }
    }
    dispatch(name, data);
  }

  private void dispatch(String name, String data) {
    JsonObject json = parse(data);
    if (name.equals("token")
        && json.getValue("position") instanceof Integer position
        && json.getValue("text") instanceof String text) {
      listener.token(new AnswerToken(position, text));
    } else if (name.equals("end") && json.getValue("tokens") instanceof Integer tokens) {
      over = true;
      vertx.cancelTimer(timer);
      listener.ended(tokens);
    } else {
      breakOff(CallFailure.UNKNOWN);
    }
  }

  private static JsonObject parse(String data) {
    try {
      return new JsonObject(data);
    } catch (DecodeException | ClassCastException e) {
      return new JsonObject();
    }
  }

  private void breakOff(CallFailure failure) {
    if (!over) {
      over = true;
      release();
      listener.broken(failure);
    }
  }

  private void release() {
    vertx.cancelTimer(timer);
    if (response != null) {
      response.request().reset();
    }
  }

  private void restartTimer() {
    vertx.cancelTimer(timer);
    timer = vertx.setTimer(IDLE_MILLIS, id -> breakOff(CallFailure.SILENT));
  }
}
