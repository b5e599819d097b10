package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import java.util.Optional;
import org.knapweedcleat.core.id.StorePosition;

/** Client of a platform's store. Futures fail with {@link StoreException}. */
public interface PublishedStore {

  /**
   * Lists one page of items.
   *
   * @param kind the kind of items
   * @param after the name after which the page starts; empty for the first page
   * @param timeoutMillis the request timeout
   * @return the page
   */
  Future<StorePage> list(PublishedKind kind, Optional<String> after, long timeoutMillis);

  /**
   * Waits for changes with a long poll. If the store has been restored since, the page is of a
   * later era, and its changes are not those after the given position.
   *
   * @param kind the kind of items
   * @param after the position after which changes are returned
   * @param waitMillis how long the store may hold the request open
   * @param timeoutMillis the request timeout
   * @return the changes; empty if there were none within the wait
   */
  Future<StorePage> watch(
      PublishedKind kind, StorePosition after, long waitMillis, long timeoutMillis);
}
