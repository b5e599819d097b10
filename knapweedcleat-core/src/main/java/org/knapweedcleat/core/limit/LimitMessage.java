package org.knapweedcleat.core.limit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/** A message between the limiters of two instances of one failure domain. */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Asks to be counted among the owners of shares.
   *
   * @param generation counts the times that the sender has asked anew
   */
  record JoinRequest(long generation) implements LimitMessage {}

  /**
   * Tells that the receiver is counted from now on.
   *
   * @param generation the generation of the question
   * @param counted all instances that the sender counts, itself included
   * @param confirmed the revision whose weights the sender uses in full, or none
   */
  record JoinAnswer(long generation, List<InstanceId> counted, Revision confirmed)
      implements LimitMessage {

    /** Copies the list. */
    public JoinAnswer {
      counted = List.copyOf(counted);
    }
  }

  /**
   * Asks for a lease of the receiver's shares.
   *
   * @param sentAtMillis the sender's time, repeated in the answer and in refunds
   * @param leaseMillis the length of the lease
   * @param wantedSlots the slots that the sender is home of
   * @param heldSlots the slots that the sender holds now from the receiver
   * @param acceptedSequence the sequence number of the last pledge that the sender accepted from
   *     the receiver, 0 for none; it accepts no lower one any more
   */
  record PledgeRequest(
      long sentAtMillis, long leaseMillis, long wantedSlots, long heldSlots, long acceptedSequence)
      implements LimitMessage {}

  /**
   * Leases the sender's shares of some slots; replaces what the sender leased before.
   *
   * @param sentAtMillis the time given in the request
   * @param sequence rises with each pledge of the sender
   * @param slots the slots
   * @param fraction the sender's part of the failure domain's rate and burst, from 0 to 1
   * @param fills how full the sender's buckets of slots are that are newly leased
   */
  record Pledge(long sentAtMillis, long sequence, long slots, double fraction, List<SlotFill> fills)
      implements LimitMessage {

    /** Copies the list. */
    public Pledge {
      fills = List.copyOf(fills);
    }
  }

  /**
   * Gives leased shares back before the lease ends.
   *
   * @param sequence the sequence number of the last pledge that the sender accepted from the
   *     receiver
   * @param slots the slots given back
   * @param fills how full the receiver's part of the buckets is
   */
  record Release(long sequence, long slots, List<SlotFill> fills) implements LimitMessage {

    /** Copies the list. */
    public Release {
      fills = List.copyOf(fills);
    }
  }

  /**
   * Takes tokens at the account's home.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param tokens how many, at least 1
   */
  record Draw(DrawId draw, AccountId account, long tokens) implements LimitMessage {}

  /**
   * Answers a draw.
   *
   * @param draw the acquisition
   * @param granted whether the tokens were taken
   * @param reason why not; meaningless if granted
   * @param retryAfterMillis when as many tokens will be there
   */
  record DrawAnswer(DrawId draw, boolean granted, DenialReason reason, long retryAfterMillis)
      implements LimitMessage {}

  /**
   * Takes back a draw whose answer came too late or not at all.
   *
   * @param draw the acquisition
   */
  record CancelDraw(DrawId draw) implements LimitMessage {}

  /**
   * Gives tokens back that were granted and not used.
   *
   * @param number rises with each refund of the sender
   * @param account the client account
   * @param tokens how many
   * @param homeMillis the highest time that the sender has received from the receiver
   */
  record Refund(long number, AccountId account, long tokens, long homeMillis)
      implements LimitMessage {}

  /** Tells that the sender owns no shares any more and never will. */
  record Ended() implements LimitMessage {}
}
