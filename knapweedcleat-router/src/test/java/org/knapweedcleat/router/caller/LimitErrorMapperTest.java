package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.router.gate.RateLimitDecision;

class LimitErrorMapperTest {

  @ParameterizedTest
  @CsvSource({
    "OVER_RATE, OVER_RATE",
    "OVER_BURST, TOO_LARGE",
    "NO_SHARE, LIMIT_UNAVAILABLE",
    "HOME_UNREACHABLE, LIMIT_UNAVAILABLE",
    "UNKNOWN_ACCOUNT, LIMIT_UNAVAILABLE"
  })
  void mapsDenialReasonToErrorCode(DenialReason reason, ErrorCode error) {
    var failure = LimitErrorMapper.toErrorResponse(new RateLimitDecision.Denied(reason, 700));
    assertThat(failure.code(), is(error));
    assertThat(failure.executionStatus(), is(ExecutionStatus.NO));
    assertThat(failure.retryAfterMillis(), is(700L));
  }
}
