package org.knapweedcleat.router.forward.store;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;

/** A decoded item of the store. */
public sealed interface PublishedItem {

  /**
   * Returns the revision of the item's last change.
   *
   * @return the revision
   */
  long revision();

  /**
   * A routing configuration.
   *
   * @param content the configuration
   * @param revision the revision of the last change
   */
  record Config(RoutingContent content, long revision) implements PublishedItem {}

  /**
   * An endpoint registration.
   *
   * @param entry the entry that the endpoint published
   * @param revision the revision of the last change
   */
  record Endpoint(EndpointEntry entry, long revision) implements PublishedItem {}

  /**
   * An endpoint that is no longer published.
   *
   * @param endpoint the id of the removed endpoint
   * @param revision the revision of the last change
   */
  record Removed(EndpointId endpoint, long revision) implements PublishedItem {}

  /**
   * An invalid item.
   *
   * @param name the item's key
   * @param endpoint the endpoint that the item describes, if any
   * @param reason why the item is invalid
   * @param revision the revision of the last change
   */
  record Unusable(String name, Optional<EndpointId> endpoint, String reason, long revision)
      implements PublishedItem {}
}
