package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * What a plain call asks for.
 *
 * @param request the request
 * @param owner the incarnation that makes the call
 * @param service the service asked for
 * @param account the client account that pays
 * @param safety whether the call may be sent more than once
 * @param deadlineMillis how long the answer may take from the start
 */
public record PlainCallSpec(
    RequestId request,
    IncarnationId owner,
    ServiceId service,
    AccountId account,
    CallSafety safety,
    long deadlineMillis) {}
