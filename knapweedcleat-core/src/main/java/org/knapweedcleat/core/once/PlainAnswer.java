package org.knapweedcleat.core.once;

import java.util.Arrays;
import java.util.Objects;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * The answer of an endpoint to a plain call.
 *
 * @param request the answered request
 * @param endpoint the endpoint that answered
 * @param status the HTTP status code
 * @param contentType the content type, empty if none was given
 * @param body the body, which must not be modified
 */
public record PlainAnswer(
    RequestId request, EndpointId endpoint, int status, String contentType, byte[] body) {

  @Override
  public boolean equals(Object other) {
    return other instanceof PlainAnswer answer
        && request.equals(answer.request)
        && endpoint.equals(answer.endpoint)
        && status == answer.status
        && contentType.equals(answer.contentType)
        && Arrays.equals(body, answer.body);
  }

  @Override
  public int hashCode() {
    return Objects.hash(request, endpoint, status, contentType, Arrays.hashCode(body));
  }
}
