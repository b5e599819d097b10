package org.knapweedcleat.router.gate;

import io.vavr.control.Either;
import java.util.Objects;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRefusal;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Looks keys up in the document that a {@link FleetView} shows. */
public final class DocumentKeyCheck implements KeyCheck {

  private final FleetView fleet;
  private KeyRegistry keys = KeyRegistry.empty();
  private Revision revision = Revision.NONE;

  private DocumentKeyCheck(FleetView fleet) {
    this.fleet = fleet;
  }

  /**
   * Returns a check against the document in force.
   *
   * @param fleet shows the document
   * @return the check
   */
  public static DocumentKeyCheck of(FleetView fleet) {
    return new DocumentKeyCheck(Objects.requireNonNull(fleet, "fleet"));
  }

  @Override
  public Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey) {
    return inForce().authenticate(presentedKey);
  }

  @Override
  public boolean confirms(KeyIdentity identity) {
    return inForce().isStillValid(identity);
  }

  private KeyRegistry inForce() {
    fleet.current().filter(this::isNew).ifPresent(this::read);
    return keys;
  }

  private boolean isNew(FleetSnapshot snapshot) {
    return snapshot.revision().isAfter(revision);
  }

  private void read(FleetSnapshot snapshot) {
    keys = KeyRegistry.of(snapshot.document());
    revision = snapshot.revision();
  }
}
