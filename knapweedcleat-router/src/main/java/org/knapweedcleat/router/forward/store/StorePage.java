package org.knapweedcleat.router.forward.store;

import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.id.StorePosition;

/**
 * One page of items returned by a store.
 *
 * @param items the items
 * @param nextPageAfter the name after which the next page starts, empty on the last page
 * @param position the store's position at the time of the response
 */
public record StorePage(
    List<PublishedItem> items, Optional<String> nextPageAfter, StorePosition position) {

  /** Copies the items. */
  public StorePage {
    items = List.copyOf(items);
  }
}
