package org.knapweedcleat.core.id;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class AccountIdTest {

  @Test
  void rejectsBlankNames() {
    assertThrows(IllegalArgumentException.class, () -> AccountId.of(" "));
    assertThrows(NullPointerException.class, () -> AccountId.of(null));
  }

  @Property(seed = "1", tries = 20)
  void preservesName(@ForAll @AlphaChars @StringLength(min = 1, max = 8) String name) {
    assertThat(AccountId.of(name).toString(), is(name));
  }
}
