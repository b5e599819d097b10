package org.knapweedcleat.standins.fault;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import io.vertx.ext.web.RoutingContext;

/** Sends responses, applying the response fault injected into the call, if any. */
public final class ResponseSender {

  private static final String FAULT_KEY = "fault";
  private static final int OK_STATUS = 200;

  private ResponseSender() {}

  /**
   * Sends an object as JSON.
   *
   * @param context the call
   * @param status the HTTP status
   * @param body the object
   */
  public static void sendJson(RoutingContext context, int status, Object body) {
    context.response().putHeader("Content-Type", "application/json");
    sendBytes(context, status, Json.encodeToBuffer(body));
  }

  /**
   * Sends an error.
   *
   * @param context the call
   * @param status the HTTP status
   * @param error the error's name in the protocol
   */
  public static void sendError(RoutingContext context, int status, String error) {
    sendJson(context, status, new ErrorBody(error));
  }

  /**
   * Acknowledges an administrative request from a test.
   *
   * @param context the call
   */
  public static void sendDone(RoutingContext context) {
    sendJson(context, OK_STATUS, new Done(true));
  }

  /**
   * Sends bytes.
   *
   * @param context the call
   * @param status the HTTP status
   * @param body the bytes
   */
  public static void sendBytes(RoutingContext context, int status, Buffer body) {
    FaultRule fault = context.get(FAULT_KEY);
    if (fault == null) {
      end(context, status, body);
    } else if (fault.kind() == FaultKind.LOSE_ANSWER) {
      context.request().connection().close();
    } else {
      context.vertx().setTimer(fault.millis(), id -> end(context, status, body));
    }
  }

  static void setFault(RoutingContext context, FaultRule fault) {
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
