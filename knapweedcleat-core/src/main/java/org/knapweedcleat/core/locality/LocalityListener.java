package org.knapweedcleat.core.locality;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/** Is told about decisions on leaving failure domains. */
public interface LocalityListener {

  /** Ignores all decisions. */
  LocalityListener NONE =
      new LocalityListener() {
        @Override
        public void onFractionChange(FractionChange change) {}

        @Override
        public void onCall(ServiceId service, FailureDomainId home, FailureDomainId chosen) {}
      };

  /**
   * The fraction of calls that may leave a home domain has changed.
   *
   * @param change the change
   */
  void onFractionChange(FractionChange change);

  /**
   * An endpoint has been selected for a call.
   *
   * @param service the service
   * @param home the call's home domain
   * @param chosen the failure domain that is to serve it
   */
  void onCall(ServiceId service, FailureDomainId home, FailureDomainId chosen);
}
