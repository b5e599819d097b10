package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.RequestHead;

/**
 * A request that needs a connection to its endpoint.
 *
 * @param host the endpoint's IP address
 * @param port the endpoint's TCP port
 * @param head the request's head without hop-by-hop headers
 * @param body the request's body
 * @param matcher tells whether a response belongs to this request
 * @param request the pending request
 */
record WaitingRequest(
    String host,
    int port,
    RequestHead head,
    Buffer body,
    ResponseMatcher matcher,
    EndpointRequest request) {

  String address() {
    return host + ":" + port;
  }
}
