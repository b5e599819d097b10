package org.knapweedcleat.router.forward.codec;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.stage.StageChange;

/**
 * Translates requests and responses between the router and a platform's protocol; stateless and
 * free of decisions.
 */
public interface CallCodec {

  /**
   * Reads the parts of a caller's request that concern the router.
   *
   * @param head the request's head
   * @return the call, or why it could not be read
   */
  Either<DecodeError, InboundCall> decodeRequest(RequestHead head);

  /**
   * Creates the head of a request to an endpoint.
   *
   * @param head the head of the caller's request
   * @param dispatch the attributes that the router adds
   * @return the head without hop-by-hop headers
   */
  RequestHead encodeRequest(RequestHead head, DispatchAttributes dispatch);

  /**
   * Reads which request a response names.
   *
   * @param response the response's head
   * @return the id of the request, empty if the response names none
   */
  Optional<String> requestId(ResponseHead response);

  /**
   * Classifies the response to a request.
   *
   * @param response the response's head
   * @param requestId the id of the request that was sent
   * @return the kind of response
   */
  ResponseKind classify(ResponseHead response, String requestId);

  /**
   * Reads what a response announces about the availability of its endpoint.
   *
   * @param response the response's head
   * @return the notice
   */
  AvailabilityNotice decodeNotice(ResponseHead response);

  /**
   * Returns the headers of an endpoint's response that are passed on to the caller.
   *
   * @param response the response's head
   * @return the headers without hop-by-hop headers
   */
  List<HeaderField> callerHeaders(ResponseHead response);

  /**
   * Returns the headers of a response that the router generates itself.
   *
   * @param requestId the id of the request
   * @return the headers
   */
  List<HeaderField> routerHeaders(String requestId);

  /**
   * Reads the response to a prefill request.
   *
   * @param body the response's body
   * @return the handle of the KV cache, or why it could not be read
   */
  Either<DecodeError, String> decodeKvHandle(byte[] body);

  /**
   * Creates the request that changes an engine's stage.
   *
   * @param change the engine and its new stage
   * @param holder the instance that sends the request
   * @param fencingToken higher than that of any earlier stage change
   * @return the request
   */
  StageChangeRequest encodeStageChange(StageChange change, InstanceId holder, long fencingToken);

  /**
   * Creates the request for an engine's state.
   *
   * @param engine the engine
   * @return the request's head
   */
  RequestHead encodeStateQuery(EndpointEntry engine);

  /**
   * Reads the response to a request for an engine's state.
   *
   * @param body the response's body
   * @return the state, or why it could not be read
   */
  Either<DecodeError, EngineState> decodeState(byte[] body);

  /**
   * Creates the request that frees a KV cache.
   *
   * @param handle the KV cache
   * @return the request's head
   */
  RequestHead encodeRelease(KvHandle handle);
}
