package org.knapweedcleat.router.forward.store;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;

/** One published item, as it was decoded. */
public sealed interface PublishedItem {

  /**
   * Returns the revision of the item's last change.
   *
   * @return the revision
   */
  long revision();

  /**
   * A configuration.
   *
   * @param content the configuration
   * @param revision the revision
   */
  record Config(RoutingContent content, long revision) implements PublishedItem {}

  /**
   * An endpoint.
   *
   * @param entry what it says of itself
   * @param revision the revision
   */
  record Endpoint(EndpointEntry entry, long revision) implements PublishedItem {}

  /**
   * An endpoint that is no longer published.
   *
   * @param endpoint the endpoint
   * @param revision the revision
   */
  record Removed(EndpointId endpoint, long revision) implements PublishedItem {}

  /**
   * An item that cannot be used.
   *
   * @param name the item
   * @param endpoint the endpoint that it stands for, if it does
   * @param reason what is wrong with it
   * @param revision the revision
   */
  record Unusable(String name, Optional<EndpointId> endpoint, String reason, long revision)
      implements PublishedItem {}
}
