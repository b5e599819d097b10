package org.knapweedcleat.router.forward.store;

import java.util.List;

/** Hears what a store publishes. */
public interface StoreListener {

  /**
   * Takes all items of a kind.
   *
   * @param kind the kind
   * @param items the items
   * @param at the revision up to which the listing is whole
   */
  void onListed(PublishedKind kind, List<PublishedItem> items, long at);

  /**
   * Takes changes.
   *
   * @param kind the kind of the items
   * @param items the changed items
   * @param at the revision up to which nothing else has changed
   */
  void onChanged(PublishedKind kind, List<PublishedItem> items, long at);

  /**
   * Hears that the store does not answer.
   *
   * @param kind the kind that was asked for
   * @param failure why
   */
  void onUnavailable(PublishedKind kind, StoreException failure);
}
