package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** One request of a caller, which has been read whole, and the answer to it. */
public interface CallerExchange {

  /**
   * Returns the request's head.
   *
   * @return the head without headers of the connection
   */
  RequestHead head();

  /**
   * Returns the request's body.
   *
   * @return the body, empty if there is none
   */
  Buffer body();

  /**
   * Sends a whole answer.
   *
   * @param status the status
   * @param headers the headers without those of the connection
   * @param body the body
   */
  void respond(int status, List<HeaderField> headers, Buffer body);

  /**
   * Begins an answer whose length is not known.
   *
   * @param status the status
   * @param headers the headers without those of the connection
   */
  void startResponse(int status, List<HeaderField> headers);

  /**
   * Sends a part of an answer that was begun.
   *
   * @param bytes the part
   */
  void write(Buffer bytes);

  /** Ends an answer that was begun; it is complete. */
  void end();

  /** Closes the connection, so that an answer that was begun does not look complete. */
  void abort();

  /**
   * Tells whether a part of the answer was sent.
   *
   * @return true after the answer was begun
   */
  boolean isResponseStarted();

  /**
   * Tells whether so much waits to be sent that the source should pause.
   *
   * @return true if the caller does not keep up
   */
  boolean isWriteQueueFull();

  /**
   * Sets who hears that the caller keeps up again.
   *
   * @param resume runs when writing may go on
   */
  void onWriteQueueDrained(Runnable resume);

  /**
   * Sets who hears that the caller has left before the end of the answer.
   *
   * @param left runs once
   */
  void onCallerDisconnected(Runnable left);
}
