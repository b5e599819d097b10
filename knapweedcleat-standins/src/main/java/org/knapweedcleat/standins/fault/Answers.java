package org.knapweedcleat.standins.fault;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import io.vertx.ext.web.RoutingContext;

/** Sends answers, unless a fault spoils them. */
public final class Answers {

  private static final String FAULT_KEY = "fault";
  private static final int OK_STATUS = 200;

  private Answers() {}

  /**
   * Sends an object as JSON.
   *
   * @param context the call
   * @param status the HTTP status
   * @param body the object
   */
  public static void json(RoutingContext context, int status, Object body) {
    context.response().putHeader("Content-Type", "application/json");
    send(context, status, Json.encodeToBuffer(body));
  }

  /**
   * Sends an error.
   *
   * @param context the call
   * @param status the HTTP status
   * @param error its name in the protocol
   */
  public static void error(RoutingContext context, int status, String error) {
    json(context, status, new ErrorBody(error));
  }

  /**
   * Confirms an order of a test.
   *
   * @param context the call
   */
  public static void ok(RoutingContext context) {
    json(context, OK_STATUS, new Done(true));
  }

  /**
   * Sends bytes.
   *
   * @param context the call
   * @param status the HTTP status
   * @param body the bytes
   */
  public static void send(RoutingContext context, int status, Buffer body) {
    Fault fault = context.get(FAULT_KEY);
    if (fault == null) {
      end(context, status, body);
    } else if (fault.kind() == FaultKind.LOSE_ANSWER) {
      context.request().connection().close();
    } else {
      context.vertx().setTimer(fault.millis(), id -> end(context, status, body));
    }
  }

  static void spoil(RoutingContext context, Fault fault) {
    context.put(FAULT_KEY, fault);
  }

  private static void end(RoutingContext context, int status, Buffer body) {
    if (context.response().closed() || context.response().ended()) {
      return;
    }
    context.response().setStatusCode(status).end(body);
  }

  private record ErrorBody(String error) {}

  private record Done(boolean done) {}
}
