package org.knapweedcleat.core.limit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/** A message between the rate limiters of two instances in one failure domain. */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Requests that the receiver count the sender among the share owners.
   *
   * @param generation the number of the sender's join attempt
   */
  record JoinRequest(long generation) implements LimitMessage {}

  /**
   * Confirms that the sender counts the receiver from now on.
   *
   * @param generation the generation in the join request
   * @param counted all instances that the sender counts, including itself
   * @param confirmed the revision that the sender has confirmed, or none
   */
  record JoinAnswer(long generation, List<InstanceId> counted, Revision confirmed)
      implements LimitMessage {

    /** Copies the list. */
    public JoinAnswer {
      counted = List.copyOf(counted);
    }
  }

  /**
   * Requests a lease of the receiver's shares.
   *
   * @param sentAtMillis the sender's clock, echoed in the pledge and in refunds
   * @param leaseMillis the duration of the lease
   * @param wantedSlots the slots of which the sender is the home
   * @param heldSlots the slots that the sender currently holds from the receiver
   * @param acceptedSequence the sequence number of the last pledge that the sender accepted from
   *     the receiver, or 0; the sender rejects lower ones
   */
  record PledgeRequest(
      long sentAtMillis, long leaseMillis, long wantedSlots, long heldSlots, long acceptedSequence)
      implements LimitMessage {}

  /**
   * Leases the sender's shares of some slots; replaces its earlier pledge.
   *
   * @param sentAtMillis the time in the request
   * @param sequence the sequence number, which increases with each pledge of the sender
   * @param slots the slots
   * @param fraction the sender's fraction of the failure domain's rate and burst, from 0 to 1
   * @param fills the fill levels of the sender's buckets in newly leased slots
   */
  record Pledge(long sentAtMillis, long sequence, long slots, double fraction, List<SlotFill> fills)
      implements LimitMessage {

    /** Copies the list. */
    public Pledge {
      fills = List.copyOf(fills);
    }
  }

  /**
   * Returns leased shares before the lease expires.
   *
   * @param sequence the sequence number of the last pledge that the sender accepted from the
   *     receiver
   * @param slots the returned slots
   * @param fills the fill levels of the receiver's share of the buckets
   */
  record Release(long sequence, long slots, List<SlotFill> fills) implements LimitMessage {

    /** Copies the list. */
    public Release {
      fills = List.copyOf(fills);
    }
  }

  /**
   * Requests tokens from the account's home.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param tokens the number of tokens, at least 1
   */
  record Draw(DrawId draw, AccountId account, long tokens) implements LimitMessage {}

  /**
   * Answers a draw.
   *
   * @param draw the acquisition
   * @param granted whether the tokens were taken
   * @param reason the reason for a denial; ignored if granted
   * @param retryAfterMillis the time until enough tokens are available
   */
  record DrawAnswer(DrawId draw, boolean granted, DenialReason reason, long retryAfterMillis)
      implements LimitMessage {}

  /**
   * Cancels a draw whose answer did not arrive in time.
   *
   * @param draw the acquisition
   */
  record CancelDraw(DrawId draw) implements LimitMessage {}

  /**
   * Returns tokens that were granted but not used.
   *
   * @param number the refund number, which increases with each refund of the sender
   * @param account the client account
   * @param tokens the number of tokens
   * @param homeMillis the latest clock value that the sender has received from the receiver
   */
  record Refund(long number, AccountId account, long tokens, long homeMillis)
      implements LimitMessage {}

  /** Announces that the sender has permanently given up its shares. */
  record Ended() implements LimitMessage {}
}
