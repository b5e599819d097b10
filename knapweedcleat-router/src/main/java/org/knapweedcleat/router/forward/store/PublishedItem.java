package org.knapweedcleat.router.forward.store;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.StorePosition;

/** A decoded item of the store. */
public sealed interface PublishedItem {

  /**
   * Returns the position of the item's last change.
   *
   * @return the position
   */
  StorePosition position();

  /**
   * A routing configuration.
   *
   * @param content the configuration
   * @param position the position of the last change
   */
  record Config(RoutingContent content, StorePosition position) implements PublishedItem {}

  /**
   * An endpoint registration.
   *
   * @param entry the entry that the endpoint published
   * @param position the position of the last change
   */
  record Endpoint(EndpointEntry entry, StorePosition position) implements PublishedItem {}

  /**
   * An endpoint that is no longer published.
   *
   * @param endpoint the id of the removed endpoint
   * @param position the position of the last change
   */
  record Removed(EndpointId endpoint, StorePosition position) implements PublishedItem {}

  /**
   * An invalid item.
   *
   * @param name the item's key
   * @param endpoint the endpoint that the item describes, if any
   * @param reason why the item is invalid
   * @param position the position of the last change
   */
  record Unusable(String name, Optional<EndpointId> endpoint, String reason, StorePosition position)
      implements PublishedItem {}
}
