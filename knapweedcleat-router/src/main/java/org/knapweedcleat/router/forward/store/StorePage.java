package org.knapweedcleat.router.forward.store;

import java.util.List;
import java.util.Optional;

/**
 * One page of items returned by a store.
 *
 * @param items the items
 * @param nextPageAfter the name after which the next page starts, empty on the last page
 * @param revision the store's revision at the time of the response
 */
public record StorePage(List<PublishedItem> items, Optional<String> nextPageAfter, long revision) {

  /** Copies the items. */
  public StorePage {
    items = List.copyOf(items);
  }
}
