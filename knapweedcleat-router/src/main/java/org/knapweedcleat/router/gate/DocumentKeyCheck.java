package org.knapweedcleat.router.gate;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.KeySpec;
import org.knapweedcleat.core.id.Revision;

/** Looks keys up in the document that a {@link FleetView} shows. */
public final class DocumentKeyCheck implements KeyCheck {

  private final FleetView fleet;
  private final Map<KeyDigest, CheckedKey> keys = new HashMap<>();
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
  public Optional<CheckedKey> find(KeyDigest digest) {
    fleet.current().filter(snapshot -> !snapshot.revision().equals(revision)).ifPresent(this::read);
    return Optional.ofNullable(keys.get(digest));
  }

  private void read(FleetSnapshot snapshot) {
    keys.clear();
    for (KeySpec key : snapshot.document().keys()) {
      keys.put(key.digest(), new CheckedKey(key.account(), key.name(), key.digest()));
    }
    revision = snapshot.revision();
  }
}
