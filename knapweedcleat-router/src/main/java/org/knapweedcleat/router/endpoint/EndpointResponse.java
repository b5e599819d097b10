package org.knapweedcleat.router.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * An endpoint's whole answer to a call.
 *
 * @param status the HTTP status code
 * @param contentType the content type, empty when none was said
 * @param body the body
 */
public record EndpointResponse(int status, String contentType, Buffer body) {

  /**
   * Tells whether the call succeeded.
   *
   * @return true for status 200
   */
  public boolean isOk() {
    return status == 200;
  }

  /**
   * Reads the body as a JSON object.
   *
   * @return the object, empty when the body is none
   */
  public JsonObject json() {
    try {
      return new JsonObject(body);
    } catch (DecodeException | ClassCastException e) {
      return new JsonObject();
    }
  }
}
