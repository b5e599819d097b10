package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import java.util.Optional;

/** Reads what a platform publishes; failures are {@link StoreException}s. */
public interface PublishedStore {

  /**
   * Reads a page of items.
   *
   * @param kind which items
   * @param after the name after which the page begins
   * @param timeoutMillis how long to wait
   * @return the page
   */
  Future<StorePage> list(PublishedKind kind, Optional<String> after, long timeoutMillis);

  /**
   * Waits for changes.
   *
   * @param kind which items
   * @param afterRevision the revision after which changes count
   * @param waitMillis how long the store may wait
   * @param timeoutMillis how long to wait for the answer
   * @return the changes, none if the wait has passed
   */
  Future<StorePage> watch(
      PublishedKind kind, long afterRevision, long waitMillis, long timeoutMillis);
}
