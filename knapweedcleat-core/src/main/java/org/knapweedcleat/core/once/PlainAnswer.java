package org.knapweedcleat.core.once;

import java.util.Arrays;
import java.util.Objects;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * The answer of a plain service.
 *
 * @param request the request that it answers
 * @param endpoint the endpoint that answered
 * @param status the HTTP status code
 * @param contentType the content type, empty when none was said
 * @param body the body, not to be changed
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
