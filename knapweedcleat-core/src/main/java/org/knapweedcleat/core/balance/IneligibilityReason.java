package org.knapweedcleat.core.balance;

/** Why an endpoint may not take a call now. */
public enum IneligibilityReason {
  /** The call may not be served in the endpoint's region. */
  REGION_NOT_ALLOWED("it is in a region that the call may not be served in"),
  /** Operators have evacuated the endpoint's failure domain. */
  EVACUATED("its failure domain is evacuated"),
  /** The endpoint's failure domain returns from an evacuation, and takes other calls so far. */
  RETURNING("its failure domain returns from an evacuation"),
  /** The endpoint has announced that it is leaving. */
  LEAVING("it is leaving"),
  /** The endpoint has asked for a pause. */
  PAUSED("it has asked for a pause"),
  /** The rate that the endpoint has announced is used up. */
  RATE_LIMITED("it has reached its rate limit"),
  /** The endpoint is cold, and the rate of cold endpoints is used up. */
  COLD("it is cold and has reached the rate of cold endpoints");

  private final String description;

  IneligibilityReason(String description) {
    this.description = description;
  }

  /**
   * Returns the reason in words.
   *
   * @return a statement about the endpoint
   */
  public String description() {
    return description;
  }
}
