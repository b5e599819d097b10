package org.knapweedcleat.router.forward.speed;

import java.util.List;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a coordinator of placement what the sender has observed of the speed of engines. Sent only
 * after new observations.
 *
 * @param reports the engines with new observations, of a bounded number
 */
public record EngineSpeedNotice(List<EngineSpeedReport> reports) implements PeerMessage {}
