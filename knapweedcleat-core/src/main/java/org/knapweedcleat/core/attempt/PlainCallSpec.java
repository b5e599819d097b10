package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * The parameters of a plain call.
 *
 * @param request the request
 * @param owner the incarnation that makes the call
 * @param service the requested service
 * @param account the client account that is charged
 * @param safety whether the call may be sent more than once
 * @param deadlineMillis the time limit for the answer, from the start of the call
 */
public record PlainCallSpec(
    RequestId request,
    IncarnationId owner,
    ServiceId service,
    AccountId account,
    CallSafety safety,
    long deadlineMillis) {}
