package org.knapweedcleat.router.gate;

import java.util.Optional;
import org.knapweedcleat.core.config.FleetSnapshot;

/** Provides the active fleet document. */
public interface FleetSnapshotProvider {

  /**
   * Returns the active document.
   *
   * @return the document, empty until the first one has been applied
   */
  Optional<FleetSnapshot> current();

  /**
   * Returns the time since the platform or a peer last confirmed the document.
   *
   * @return the time in milliseconds
   */
  long unconfirmedMillis();
}
