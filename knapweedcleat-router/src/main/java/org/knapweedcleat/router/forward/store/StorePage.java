package org.knapweedcleat.router.forward.store;

import java.util.List;
import java.util.Optional;

/**
 * Items that a store has given.
 *
 * @param items the items
 * @param nextPageAfter the name after which the next page begins, if there is one
 * @param revision the store's revision
 */
public record StorePage(List<PublishedItem> items, Optional<String> nextPageAfter, long revision) {

  /** Copies the items. */
  public StorePage {
    items = List.copyOf(items);
  }
}
