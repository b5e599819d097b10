package org.knapweedcleat.core.quarantine;

import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * The observation that an engine survived a request with a part of a prompt.
 *
 * @param part the part
 * @param servedAtMillis when the response had been under way long enough, or was complete
 * @param source who observed it
 */
public record ServedPart(PromptPartId part, long servedAtMillis, ObservationSource source) {}
