package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.buffer.Buffer;

/**
 * A completely received request.
 *
 * @param head its head
 * @param keepAlive whether its connection may be used again
 * @param body its body
 * @param heapBytes the estimated memory that it occupies until its response is complete
 */
record QueuedRequest(HttpRequest head, boolean keepAlive, Buffer body, long heapBytes) {}
