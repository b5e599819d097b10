package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** One fully received request of a caller and the response to it. */
public interface CallerExchange {

  /**
   * Returns the request's head.
   *
   * @return the head without hop-by-hop headers
   */
  RequestHead head();

  /**
   * Returns the request's body.
   *
   * @return the body, empty if there is none
   */
  Buffer body();

  /**
   * Records how much of a response is held back until it is complete.
   *
   * @param heapBytes the memory of the part that has arrived
   * @return false if memory is short, so that the response is to be passed on as it arrives
   */
  boolean holdResponse(long heapBytes);

  /**
   * Sends a complete response.
   *
   * @param status the status
   * @param headers the headers without hop-by-hop headers
   * @param body the body
   */
  void respond(int status, List<HeaderField> headers, Buffer body);

  /**
   * Starts a response of unknown length.
   *
   * @param status the status
   * @param headers the headers without hop-by-hop headers
   */
  void startResponse(int status, List<HeaderField> headers);

  /**
   * Sends a part of the body of a response that was started.
   *
   * @param bytes the part
   */
  void write(Buffer bytes);

  /** Completes a response that was started. */
  void end();

  /** Closes the connection, so that a response that was started does not look complete. */
  void abort();

  /**
   * Tells whether a part of the response was sent.
   *
   * @return true once the response was started
   */
  boolean isResponseStarted();

  /**
   * Tells whether the write queue is full, so that the source should pause.
   *
   * @return true if the caller reads more slowly than the response arrives
   */
  boolean isWriteQueueFull();

  /**
   * Sets the handler for when the write queue has been drained.
   *
   * @param resume runs when writing may continue
   */
  void onWriteQueueDrained(Runnable resume);

  /**
   * Sets the handler for when the caller disconnects before the end of the response.
   *
   * @param onDisconnect runs at most once
   */
  void onCallerDisconnected(Runnable onDisconnect);
}
