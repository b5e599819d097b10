package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a coordinator that an engine failed a stream it placed.
 *
 * @param engine the engine's id
 * @param fault the kind of failure
 */
public record EngineFaultNotice(String engine, EngineFault fault) implements PeerMessage {}
