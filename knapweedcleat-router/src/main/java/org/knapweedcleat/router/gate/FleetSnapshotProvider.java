package org.knapweedcleat.router.gate;

import java.util.Optional;
import org.knapweedcleat.core.config.FleetSnapshot;

/** Shows the document in force. */
public interface FleetSnapshotProvider {

  /**
   * Returns the document in force.
   *
   * @return empty until the first document was applied
   */
  Optional<FleetSnapshot> current();

  /**
   * Tells how long ago the platform or a peer last confirmed the document.
   *
   * @return the age in milliseconds
   */
  long unconfirmedMillis();
}
