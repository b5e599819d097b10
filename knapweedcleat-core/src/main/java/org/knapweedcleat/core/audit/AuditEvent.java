package org.knapweedcleat.core.audit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.Revision;

/** A change that operators want to find again. Events never hold keys. */
public sealed interface AuditEvent {

  /**
   * A document came into force.
   *
   * @param revision its revision
   * @param digest the SHA-256 of its text
   * @param sections the sections that it changed
   * @param source where it came from
   */
  record DocumentApplied(
      Revision revision, String digest, List<String> sections, DocumentSource source)
      implements AuditEvent {}

  /**
   * A document was not applied.
   *
   * @param revision its revision
   * @param digest the SHA-256 of its text
   * @param faults what is wrong with it
   */
  record DocumentRejected(Revision revision, String digest, List<String> faults)
      implements AuditEvent {}

  /**
   * A key started to work.
   *
   * @param name the key's name
   * @param account the client account it stands for
   */
  record KeyGiven(String name, AccountId account) implements AuditEvent {}

  /**
   * A key stopped working.
   *
   * @param name the key's name
   * @param account the client account it stood for
   * @param streamsEnded the running answers that were ended
   */
  record KeyWithdrawn(String name, AccountId account, int streamsEnded) implements AuditEvent {}

  /**
   * An endpoint was given an order.
   *
   * @param endpoint the endpoint
   * @param order what it was told
   * @param outcome what it answered
   */
  record EndpointOrdered(EndpointId endpoint, String order, String outcome) implements AuditEvent {}

  /** A planned stop began. */
  record DrainStarted() implements AuditEvent {}

  /**
   * A planned stop ended.
   *
   * @param requestsCut the requests that had to be cut, normally 0
   */
  record DrainFinished(int requestsCut) implements AuditEvent {}
}
