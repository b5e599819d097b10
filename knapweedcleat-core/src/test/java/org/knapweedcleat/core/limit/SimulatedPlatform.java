package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.ListedInstance;

/** Simulates a platform with a delayed instance list and possibly stale documents. */
final class SimulatedPlatform {

  /** The maximum delay of the instance list. */
  static final long MAX_LIST_LAG_MILLIS = 3_000;

  /** The accounts of one document revision. */
  record Document(Revision revision, List<AccountSpec> accounts) {}

  private final TreeMap<Long, List<ListedInstance>> instanceLists = new TreeMap<>();
  private final TreeMap<Long, Document> documents = new TreeMap<>();
  private final Set<FailureDomainId> disconnectedDomains = new HashSet<>();
  private long lastRevision;
  private long staleSinceMillis = Long.MAX_VALUE;

  void publishInstances(long nowMillis, List<ListedInstance> instances) {
    instanceLists.put(nowMillis, new ArrayList<>(instances));
  }

  void publishDocument(long nowMillis, List<AccountSpec> accounts) {
    lastRevision++;
    Revision revision = Revision.of(lastRevision);
    documents.put(nowMillis, new Document(revision, List.copyOf(accounts)));
  }

  void setDisconnected(FailureDomainId domain, boolean cut) {
    if (cut) {
      disconnectedDomains.add(domain);
    } else {
      disconnectedDomains.remove(domain);
    }
  }

  boolean isDisconnected(FailureDomainId domain) {
    return disconnectedDomains.contains(domain);
  }

  /** Serves no document newer than the given time; {@link Long#MAX_VALUE} ends the staleness. */
  void serveDocumentsFrom(long sinceMillis) {
    staleSinceMillis = sinceMillis;
  }

  List<ListedInstance> instancesAt(long nowMillis, long lagMillis) {
    var entry = instanceLists.floorEntry(nowMillis - lagMillis);
    return entry == null ? List.of() : entry.getValue();
  }

  Document documentAt(long nowMillis) {
    return documents.floorEntry(Math.min(nowMillis, staleSinceMillis)).getValue();
  }

  Document document(Revision revision) {
    return documents.values().stream()
        .filter(document -> document.revision().equals(revision))
        .findFirst()
        .orElseThrow();
  }
}
