package org.knapweedcleat.core.audit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.Revision;

/** A change recorded in the audit trail. Events never contain API keys. */
public sealed interface AuditEvent {

  /**
   * A configuration document was applied.
   *
   * @param revision the document's revision
   * @param digest the SHA-256 digest of the document's text
   * @param sections the sections that changed
   * @param source where the document came from
   */
  record DocumentApplied(
      Revision revision, String digest, List<String> sections, DocumentSource source)
      implements AuditEvent {}

  /**
   * A configuration document was rejected.
   *
   * @param revision the document's revision
   * @param digest the SHA-256 digest of the document's text
   * @param faults the faults found in the document
   */
  record DocumentRejected(Revision revision, String digest, List<String> faults)
      implements AuditEvent {}

  /**
   * An API key became valid.
   *
   * @param name the key's name
   * @param account the key's client account
   */
  record KeyGiven(String name, AccountId account) implements AuditEvent {}

  /**
   * An API key was withdrawn.
   *
   * @param name the key's name
   * @param account the key's client account
   * @param streamsEnded the number of running answers that were ended
   */
  record KeyWithdrawn(String name, AccountId account, int streamsEnded) implements AuditEvent {}

  /**
   * An order was sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @param order the order
   * @param outcome the result of the order
   */
  record EndpointOrdered(EndpointId endpoint, String order, String outcome) implements AuditEvent {}

  /** A planned shutdown started. */
  record DrainStarted() implements AuditEvent {}

  /**
   * A planned shutdown completed.
   *
   * @param requestsCut the number of requests that were aborted, normally 0
   */
  record DrainFinished(int requestsCut) implements AuditEvent {}
}
