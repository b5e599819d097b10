package org.knapweedcleat.router.forward.codec;

import io.vertx.core.Vertx;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.router.forward.store.PublishedStore;

/** Makes the router speak a platform's protocols; found by {@link java.util.ServiceLoader}. */
public interface PlatformAdapter {

  /**
   * Returns the name by which the command line chooses the adapter.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the translation of calls.
   *
   * @return the codec
   */
  CallCodec callCodec();

  /**
   * Returns the path of the question whether an instance is ready.
   *
   * @return the path
   */
  String readinessPath();

  /**
   * Returns a client of the store that holds what is published.
   *
   * @param vertx runs it
   * @param address where the store listens
   * @return the client
   */
  PublishedStore storeClient(Vertx vertx, InetAddressPort address);
}
