package org.knapweedcleat.router.forward.http;

import java.util.Optional;
import java.util.function.Function;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/**
 * Tells the response to a request from other responses on its connection.
 *
 * <p>Endpoints repeat the id of a request in its response. The response to a run counts without one
 * only if its connection carried no other request. Any other response may come without one, since a
 * connection carries another request only after responses that named theirs.
 */
public final class ResponseMatcher {

  private final Optional<String> requestId;
  private final Function<ResponseHead, Optional<String>> responseId;
  private final boolean needsId;

  private ResponseMatcher(
      Optional<String> requestId,
      Function<ResponseHead, Optional<String>> responseId,
      boolean needsId) {
    this.requestId = requestId;
    this.responseId = responseId;
    this.needsId = needsId;
  }

  /**
   * Returns the matcher of a request whose response states whether a call has run.
   *
   * @param requestId the request's id
   * @param responseId reads the request id of a response
   * @return the matcher
   */
  public static ResponseMatcher ofRun(
      String requestId, Function<ResponseHead, Optional<String>> responseId) {
    return new ResponseMatcher(Optional.of(requestId), responseId, true);
  }

  /**
   * Returns the matcher of a request that runs no call; its response may come without an id.
   *
   * @param requestId the request's id, empty if it has none
   * @param responseId reads the request id of a response
   * @return the matcher
   */
  public static ResponseMatcher ofOther(
      Optional<String> requestId, Function<ResponseHead, Optional<String>> responseId) {
    return new ResponseMatcher(requestId, responseId, false);
  }

  Optional<String> requestId() {
    return requestId;
  }

  Optional<String> responseId(ResponseHead response) {
    return responseId.apply(response);
  }

  /**
   * Tells whether a response belongs to the request.
   *
   * @param response the response's head
   * @param isFirst whether the request is the first on its connection
   */
  boolean matches(ResponseHead response, boolean isFirst) {
    Optional<String> id = responseId.apply(response);
    return id.equals(requestId) || (id.isEmpty() && (isFirst || !needsId));
  }

  /**
   * Tells whether a response names the request, so that a copy of it can be told from the responses
   * to later requests.
   *
   * @param response the response's head
   */
  boolean isNamedBy(ResponseHead response) {
    return requestId.isPresent() && responseId(response).equals(requestId);
  }
}
