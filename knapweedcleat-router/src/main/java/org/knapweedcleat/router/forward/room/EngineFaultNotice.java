package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a keeper that an engine failed a stream which it placed.
 *
 * @param engine the engine
 * @param fault how it failed
 */
public record EngineFaultNotice(String engine, EngineFault fault) implements PeerMessage {}
