package org.knapweedcleat.router.gate;

import io.vavr.control.Either;
import java.util.Objects;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRefusal;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Authenticates keys against the active fleet document. */
public final class DocumentKeyAuthenticator implements KeyAuthenticator {

  private final FleetSnapshotProvider fleet;
  private KeyRegistry keys = KeyRegistry.empty();
  private Revision revision = Revision.NONE;

  private DocumentKeyAuthenticator(FleetSnapshotProvider fleet) {
    this.fleet = fleet;
  }

  /**
   * Creates an authenticator.
   *
   * @param fleet provides the active document
   * @return the authenticator
   */
  public static DocumentKeyAuthenticator of(FleetSnapshotProvider fleet) {
    return new DocumentKeyAuthenticator(Objects.requireNonNull(fleet, "fleet"));
  }

  @Override
  public Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey) {
    return currentKeys().authenticate(presentedKey);
  }

  @Override
  public boolean isStillValid(KeyIdentity identity) {
    return currentKeys().isStillValid(identity);
  }

  private KeyRegistry currentKeys() {
    fleet.current().filter(this::isNewer).ifPresent(this::update);
    return keys;
  }

  private boolean isNewer(FleetSnapshot snapshot) {
    return snapshot.revision().isAfter(revision);
  }

  private void update(FleetSnapshot snapshot) {
    keys = KeyRegistry.of(snapshot.document());
    revision = snapshot.revision();
  }
}
