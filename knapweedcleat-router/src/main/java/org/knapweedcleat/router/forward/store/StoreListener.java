package org.knapweedcleat.router.forward.store;

import java.util.List;

/** Receives the items and changes that a store publishes. */
public interface StoreListener {

  /**
   * Called with a full listing.
   *
   * @param kind the kind of the items
   * @param items all items of that kind
   * @param revision the revision up to which the listing is complete
   */
  void onListed(PublishedKind kind, List<PublishedItem> items, long revision);

  /**
   * Called with changes since the last listing or change.
   *
   * @param kind the kind of the items
   * @param items the changed items
   * @param revision the revision up to which there are no other changes
   */
  void onChanged(PublishedKind kind, List<PublishedItem> items, long revision);

  /**
   * Called when a request to the store fails.
   *
   * @param kind the requested kind
   * @param failure the cause
   */
  void onUnavailable(PublishedKind kind, StoreException failure);
}
