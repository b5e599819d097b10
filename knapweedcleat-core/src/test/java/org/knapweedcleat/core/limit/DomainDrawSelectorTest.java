package org.knapweedcleat.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;

class DomainDrawSelectorTest {

  private static final AccountId ACCOUNT = AccountId.of("large");
  private static final FailureDomainId NEAR = FailureDomainId.of("near");
  private static final FailureDomainId FAR = FailureDomainId.of("far");

  private final DomainDrawSelector selector = DomainDrawSelector.create();

  @BeforeEach
  void configure() {
    selector.configure(List.of(NEAR, FAR));
  }

  @Test
  void selectsNearestDomainNotYetAsked() {
    assertThat(selector.next(0, ACCOUNT, Set.of()), is(Optional.of(NEAR)));
    assertThat(selector.next(0, ACCOUNT, Set.of(NEAR)), is(Optional.of(FAR)));
    assertThat(selector.next(0, ACCOUNT, Set.of(NEAR, FAR)), is(Optional.empty()));
  }

  @Test
  void skipsDenyingDomainUntilRetryTime() {
    selector.recordDenial(100, NEAR, ACCOUNT, 50);
    assertThat(selector.next(149, ACCOUNT, Set.of()), is(Optional.of(FAR)));
    assertThat(selector.next(149, AccountId.of("other"), Set.of()), is(Optional.of(NEAR)));
    assertThat(selector.next(150, ACCOUNT, Set.of()), is(Optional.of(NEAR)));
  }

  @Test
  void clearsDenialsOnNewConfiguration() {
    selector.recordDenial(100, NEAR, ACCOUNT, 1_000);
    selector.configure(List.of(NEAR));
    assertThat(selector.next(101, ACCOUNT, Set.of()), is(Optional.of(NEAR)));
  }
}
