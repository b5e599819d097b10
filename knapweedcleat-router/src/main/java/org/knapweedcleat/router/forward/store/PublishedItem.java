package org.knapweedcleat.router.forward.store;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
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
   * The evacuation of a failure domain.
   *
   * @param domain the failure domain
   * @param evacuated false if the evacuation has ended
   * @param position the position of the last change
   */
  record Evacuation(FailureDomainId domain, boolean evacuated, StorePosition position)
      implements PublishedItem {}

  /**
   * An endpoint registration.
   *
   * @param entry the entry that the endpoint published
   * @param coldRemainingMillis how long the endpoint stays cold by its own statement; negative if
   *     the statement is invalid
   * @param position the position of the last change
   */
  record Endpoint(EndpointEntry entry, long coldRemainingMillis, StorePosition position)
      implements PublishedItem {

    /**
     * Creates the registration of a warm endpoint.
     *
     * @param entry the entry that the endpoint published
     * @param position the position of the last change
     */
    public Endpoint(EndpointEntry entry, StorePosition position) {
      this(entry, 0, position);
    }
  }

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
