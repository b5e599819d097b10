package org.knapweedcleat.router.endpoint;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.knapweedcleat.core.config.EndpointSpec;

/**
 * An HTTP call to an endpoint.
 *
 * @param endpoint the target
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the headers, which never contain an API key
 * @param body the body, possibly empty
 * @param timeoutMillis the time limit for the complete response
 */
public record EndpointCall(
    EndpointSpec endpoint,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    long timeoutMillis) {}
