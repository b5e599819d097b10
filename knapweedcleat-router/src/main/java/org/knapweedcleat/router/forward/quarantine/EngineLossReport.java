package org.knapweedcleat.router.forward.quarantine;

import java.util.List;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.quarantine.EngineLoss;
import org.knapweedcleat.core.quarantine.PromptPartId;

/**
 * An {@link EngineLoss} as sent to another instance, whose clock differs.
 *
 * @param engine the engine's id
 * @param startedAtMillis the engine's start time in Unix milliseconds
 * @param requestId the id of the request
 * @param parts the parts of its prompt that other requests may share
 * @param ageMillis the time since the loss
 */
public record EngineLossReport(
    String engine, long startedAtMillis, String requestId, List<String> parts, long ageMillis) {

  static EngineLossReport of(long nowMillis, EngineLoss loss) {
    return new EngineLossReport(
        loss.engine().id().value(),
        loss.engine().startedAtMillis(),
        loss.requestId(),
        loss.parts().stream().map(PromptPartId::value).sorted().toList(),
        nowMillis - loss.observedAtMillis());
  }

  EngineLoss toLoss(long nowMillis, ObservationSource source) {
    return new EngineLoss(
        new EndpointIncarnation(EndpointId.of(engine), startedAtMillis),
        requestId,
        parts.stream().map(PromptPartId::of).collect(Collectors.toSet()),
        nowMillis - ageMillis,
        source);
  }
}
