package org.knapweedcleat.core.quarantine;

import java.util.Set;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * The loss of an engine by a request whose response it had not begun, or only just begun.
 *
 * @param engine the engine
 * @param requestId the id of the request
 * @param parts the parts of the prompt that other requests may share
 * @param observedAtMillis when the connection was lost
 * @param source who observed it
 */
public record EngineLoss(
    EndpointIncarnation engine,
    String requestId,
    Set<PromptPartId> parts,
    long observedAtMillis,
    ObservationSource source) {

  /** Copies the parts. */
  public EngineLoss {
    parts = Set.copyOf(parts);
  }

  /** Identifies the observation, which may be reported more than once. */
  record Key(EndpointIncarnation engine, String requestId) {}

  Key key() {
    return new Key(engine, requestId);
  }
}
