package org.knapweedcleat.router.endpoint;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.knapweedcleat.core.config.EndpointSpec;

/**
 * A call to an endpoint.
 *
 * @param endpoint where it goes
 * @param method the HTTP method
 * @param uri the path with its query
 * @param headers the headers; no key is ever among them
 * @param body the body, may be empty
 * @param timeoutMillis how long the whole answer may take
 */
public record EndpointCall(
    EndpointSpec endpoint,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    long timeoutMillis) {}
