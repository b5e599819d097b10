package org.knapweedcleat.router.forward.store;

import java.util.List;
import org.knapweedcleat.core.id.StorePosition;

/** Receives the items and changes that a store publishes. */
public interface StoreListener {

  /**
   * Called with a full listing.
   *
   * @param kind the kind of the items
   * @param items all items of that kind
   * @param position the position up to which the listing is complete
   */
  void onListed(PublishedKind kind, List<PublishedItem> items, StorePosition position);

  /**
   * Called with changes since the last listing or change.
   *
   * @param kind the kind of the items
   * @param items the changed items
   * @param position the position up to which there are no other changes
   */
  void onChanged(PublishedKind kind, List<PublishedItem> items, StorePosition position);

  /**
   * Called when a request to the store fails.
   *
   * @param kind the requested kind
   * @param failure the cause
   */
  void onUnavailable(PublishedKind kind, StoreException failure);
}
