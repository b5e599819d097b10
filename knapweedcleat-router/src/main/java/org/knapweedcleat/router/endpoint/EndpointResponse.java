package org.knapweedcleat.router.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * The complete response of an endpoint to a call.
 *
 * @param status the HTTP status code
 * @param contentType the content type, empty if the header is missing
 * @param body the body
 */
public record EndpointResponse(int status, String contentType, Buffer body) {

  /**
   * Returns whether the call succeeded.
   *
   * @return true for status 200
   */
  public boolean isOk() {
    return status == 200;
  }

  /**
   * Parses the body as a JSON object.
   *
   * @return the object, empty if the body is not a JSON object
   */
  public JsonObject json() {
    try {
      return new JsonObject(body);
    } catch (DecodeException | ClassCastException e) {
      return new JsonObject();
    }
  }
}
