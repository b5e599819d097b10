package org.knapweedcleat.router.caller;

import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;

/** Data about a split request that is sent to the caller before the first token. */
record ResponseMetadata(
    RequestId request,
    InstanceId instance,
    EndpointId prefill,
    EndpointId decode,
    String continuation) {

  JsonObject toJson() {
    return new JsonObject()
        .put("request", request.value())
        .put("instance", instance.value())
        .put("prefill", prefill.value())
        .put("decode", decode.value());
  }
}
