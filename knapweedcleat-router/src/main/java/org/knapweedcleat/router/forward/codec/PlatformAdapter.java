package org.knapweedcleat.router.forward.codec;

import io.vertx.core.Vertx;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.router.forward.store.PublishedStore;

/** Adapts the router to a platform's protocols; loaded by {@link java.util.ServiceLoader}. */
public interface PlatformAdapter {

  /**
   * Returns the name that selects the adapter on the command line.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the codec for calls.
   *
   * @return the codec
   */
  CallCodec callCodec();

  /**
   * Returns the path of an instance's readiness check.
   *
   * @return the path
   */
  String readinessPath();

  /**
   * Returns a client of the store that holds the published configuration and endpoints.
   *
   * @param vertx runs the client
   * @param address the address of the store
   * @return the client
   */
  PublishedStore storeClient(Vertx vertx, InetAddressPort address);
}
