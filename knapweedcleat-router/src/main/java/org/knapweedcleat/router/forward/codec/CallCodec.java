package org.knapweedcleat.router.forward.codec;

import io.vavr.control.Either;
import java.util.List;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.stage.StageChange;

/** Translates calls; has no state and decides nothing. */
public interface CallCodec {

  /**
   * Reads what a caller's request says to the router.
   *
   * @param head the request's head
   * @return the call, or what is wrong with it
   */
  Either<DecodeError, InboundCall> decodeRequest(RequestHead head);

  /**
   * Writes the head of a request to an endpoint.
   *
   * @param head the caller's head
   * @param dispatch what the router adds
   * @return the head without headers of the connection
   */
  RequestHead encodeRequest(RequestHead head, DispatchAttributes dispatch);

  /**
   * Tells what an answer says of a request.
   *
   * @param reply the answer's head
   * @param requestId the request that was sent
   * @return the answer's nature
   */
  ResponseKind classify(ResponseHead reply, String requestId);

  /**
   * Reads what an answer says of further calls to its endpoint.
   *
   * @param reply the answer's head
   * @return the notice
   */
  AvailabilityNotice decodeNotice(ResponseHead reply);

  /**
   * Returns the headers of an endpoint's answer that callers get.
   *
   * @param reply the answer's head
   * @return the headers without those of the connection
   */
  List<HeaderField> callerHeaders(ResponseHead reply);

  /**
   * Returns the headers of an answer of the router's own.
   *
   * @param requestId the request
   * @return the headers
   */
  List<HeaderField> routerHeaders(String requestId);

  /**
   * Reads the answer to a prefill.
   *
   * @param body the answer's body
   * @return the handle of the KV cache, or what is wrong
   */
  Either<DecodeError, String> decodeKvHandle(byte[] body);

  /**
   * Writes the order that changes an engine's stage.
   *
   * @param change the engine and its new stage
   * @param holder the instance that gives the order
   * @param fencingToken higher than that of any order before
   * @return the call
   */
  StageChangeRequest encodeStageChange(StageChange change, InstanceId holder, long fencingToken);

  /**
   * Writes the question for an engine's state.
   *
   * @param engine the engine
   * @return the call's head
   */
  RequestHead encodeStateQuery(EndpointEntry engine);

  /**
   * Reads the answer to the question for an engine's state.
   *
   * @param body the answer's body
   * @return the state, or what is wrong
   */
  Either<DecodeError, EngineState> decodeState(byte[] body);

  /**
   * Writes the call that frees a KV cache.
   *
   * @param handle the KV cache
   * @return the call's head
   */
  RequestHead encodeRelease(KvHandle handle);
}
